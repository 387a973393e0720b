//! The members nearest to each area, cached: there are hundreds of groups, and members change often during a rollout.

use std::collections::HashMap;

/// Cache of the nearest members by area, as positions in the list of members.
#[derive(Debug, Default)]
pub struct NearestMembers {
    by_area: HashMap<(u32, Option<u32>), Vec<usize>>,
}

/// Location of a member: hashes of its zone and its region.
pub type MemberLocation = (u32, u32);

impl NearestMembers {
    /// Returns the positions of the members in an area (a zone or a region); if there are none, of those in the area's
    /// `region`, else of all members. `region` is `None` if the area spans several or its region is unknown. Results
    /// are cached by area and region until [`Self::clear`], whatever `members` are.
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

    /// Clears the cache; to be called when the members have changed.
    pub fn clear(&mut self) {
        self.by_area.clear();
    }
}

fn nearest(
    area: u32,
    region: Option<u32>,
    members: impl Iterator<Item = MemberLocation> + Clone,
) -> Vec<usize> {
    let distance = |(member_zone, member_region): MemberLocation| {
        if member_zone == area || member_region == area {
            0
        } else {
            1 + u8::from(Some(member_region) != region)
        }
    };
    let min_distance = members.clone().map(distance).min();
    let nearest = members.enumerate();
    let nearest = nearest.filter(|(_, member)| Some(distance(*member)) == min_distance);
    nearest.map(|(position, _)| position).collect()
}
