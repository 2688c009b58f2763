use super::*;

#[test]
fn a_full_queue_closes_the_sessions_of_further_commands_without_blocking() {
    let mut queue = CommandQueue::default();
    for n in 0..MAX_QUEUED_COMMANDS as u64 + 3 {
        queue.push(Command::Close(n % 7, String::new()));
    }
    let found = (queue.commands.len(), queue.overflowed.len());
    assert_eq!(found, (MAX_QUEUED_COMMANDS, 3));
}
