//! Conversion between the planner's orders and the relay's commands.

use crate::relay::Command;
use dahliapoint::Orders;

/// Converts a decision to commands, in the order of the fields of [`Orders`].
pub fn into_commands(orders: Orders) -> Vec<Command> {
    let lines = orders.lines.into_iter();
    let lines = lines.map(|(table, server, weight)| Command::Share {
        table,
        server,
        weight,
    });
    let levels = orders.levels.into_iter();
    let levels = levels.map(|(table, class, share, retry_policy)| Command::Admit {
        table,
        class,
        share,
        retry_policy,
    });
    let withdrawals = orders.withdrawals.into_iter();
    let withdrawals =
        withdrawals.map(|(server, withdrawn)| Command::Withdraw { server, withdrawn });
    let bindings = orders.bindings.into_iter();
    let bindings = bindings.map(|(proxy, table)| Command::Bind { proxy, table });
    let updates = lines.chain(levels).chain(withdrawals);
    updates.chain(bindings).collect()
}

/// Converts commands back to orders, as far as they say what is written to proxies.
pub fn to_orders(commands: &[Command]) -> Orders {
    let mut orders = Orders::default();
    for command in commands {
        match *command {
            Command::Share {
                table,
                server,
                weight,
            } => orders.lines.push((table, server, weight)),
            Command::Admit {
                table,
                class,
                share,
                retry_policy,
            } => orders.levels.push((table, class, share, retry_policy)),
            Command::Withdraw { server, withdrawn } => {
                orders.withdrawals.push((server, withdrawn));
            }
            Command::Bind { proxy, table } => orders.bindings.push((proxy, table)),
            Command::Mark(_) => {}
        }
    }
    orders
}
