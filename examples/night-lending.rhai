// Lends up to 80 % of the batch slots at night, and up to 30 % by day while over 70 % of the slots are idle.
fn lend(numbers) {
    let night = numbers.hour < 5.0 || numbers.hour > 20.0;
    let share = if night { 0.8 } else if numbers.idle > 0.7 { 0.3 } else { 0.0 };
    #{ to: #{ trakia: share }, return_ms: 100 }
}

// Borrows only while more than 1000 own batch items are queued.
fn borrow(numbers) {
    if numbers.own_backlog > 1000 { 0.5 } else { 0.0 }
}
