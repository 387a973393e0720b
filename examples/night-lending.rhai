// The Desks lend at night, while their lobbies are empty, and little by day.
fn lend(numbers) {
    let night = numbers.hour < 5.0 || numbers.hour > 20.0;
    let share = if night { 0.8 } else if numbers.idle > 0.7 { 0.3 } else { 0.0 };
    #{ to: #{ trakia: share }, return_ms: 100 }
}

// They borrow only what their own backlog is worth.
fn borrow(numbers) {
    if numbers.own_backlog > 1000 { 0.5 } else { 0.0 }
}
