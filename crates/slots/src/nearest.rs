//! Which members are nearest to an area of groups, found once for each area and not for each group: a fleet has hundreds of groups,
//! and its members change many times a second while they are replaced.

use std::collections::HashMap;

/// The members nearest to each area that was asked for, by their positions.
#[derive(Debug, Default)]
pub struct NearestMembers {
    by_area: HashMap<(u32, Option<u32>), Vec<usize>>,
}

/// Where a member is: hashes of its zone and its region.
pub type MemberLocation = (u32, u32);

impl NearestMembers {
    /// Positions of the members in an area, a zone or a region; if there are none, of those in the area's region, else of all.
    pub fn of(
        &mut self,
        area: u32,
        region: Option<u32>,
        members: impl Iterator<Item = MemberLocation> + Clone,
    ) -> &[usize] {
        let key = (area, region);
        self.by_area
            .entry(key)
            .or_insert_with(|| nearest(area, region, members))
    }

    /// Forgets all: the members are others.
    pub fn clear(&mut self) {
        self.by_area.clear();
    }
}

fn nearest(
    area: u32,
    region: Option<u32>,
    members: impl Iterator<Item = MemberLocation> + Clone,
) -> Vec<usize> {
    let distance = |(zone, of): MemberLocation| {
        if zone == area || of == area {
            0
        } else {
            1 + u8::from(Some(of) != region)
        }
    };
    let min_distance = members.clone().map(distance).min();
    let nearest = members.enumerate();
    let nearest = nearest.filter(|(_, member)| Some(distance(*member)) == min_distance);
    nearest.map(|(position, _)| position).collect()
}
