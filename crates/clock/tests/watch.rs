//! Each suspension is noticed once by each watch.

use std::time::Duration;

use harrierward_clock::{SuspensionWatch, imagine_suspension};

#[test]
fn a_suspension_is_told_once_and_its_whole_length() {
    let watch = SuspensionWatch::start();
    assert_eq!(watch.take(), None);
    imagine_suspension(Duration::from_millis(400));
    imagine_suspension(Duration::from_millis(800));
    let told = watch.take().expect("a suspension");
    assert!((1_200..1_250).contains(&told.as_millis()), "{told:?}");
    assert_eq!(watch.take(), None, "it is told once");
    assert_eq!(
        SuspensionWatch::start().take(),
        None,
        "what was before its start"
    );
    // Short ones add up until they count.
    let told = (0..20).filter_map(|_| {
        imagine_suspension(Duration::from_millis(10));
        watch.take()
    });
    let told: Duration = told.sum();
    assert!((150..250).contains(&told.as_millis()), "{told:?}");
}
