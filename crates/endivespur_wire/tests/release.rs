//! Gateways of the release at commit 0102b07 and newer ones run side by side during an upgrade. The messages of
//! that release are read as it meant them, and the ones that it reads are written as it expects them.

use endivespur_wire::gateway_capnp::{gateway, news};

/// Returns the bytes of a message that a test has built.
fn bytes<A: capnp::message::Allocator>(message: &capnp::message::Builder<A>) -> String {
    let words = capnp::serialize::write_message_to_words(message);
    let digits = words.iter().map(|byte| format!("{byte:02x}"));
    digits.collect::<Vec<_>>().concat()
}

fn parse(text: &str) -> Vec<u8> {
    let bytes =
        (0..text.len() / 2).map(|index| u8::from_str_radix(&text[2 * index..2 * index + 2], 16));
    bytes.collect::<Result<_, _>>().unwrap()
}

/// The call for changes after revision 17, sent at once, with large values.
const FOLLOW: &str = "0000000003000000000000000200000011000000000000000000000001000000";
/// The reply with the changes up to revision 21: `a` is written, `b` removed, `c` too large; ended registrations
/// are kept for 2200 ms.
const CHANGES: &str = concat!(
    "000000001500000000000000010001000000000000000000000000000200020015000000000000009808000000000000",
    "0d00000047000000010000000e0000000100000012000000630000000000000008000000020002000100000000000000",
    "14000000000000001500000012000000150000000a000000000000000000000015000000000000000d00000012000000",
    "0000000000000000610000000000000076000000000000006200000000000000",
);
/// The reply of a gateway that does not watch the store.
const AWAY: &str = "0000000003000000000000000100010002000000000000000000000000000000";

fn write_changes(to: news::Builder<'_>) {
    let mut to = to.init_changes();
    to.set_revision(21);
    to.set_settling_ms(2200);
    to.reborrow().init_large(1).set(0, "c");
    let mut items = to.init_items(2);
    let mut item = items.reborrow().get(0);
    item.set_key("a");
    item.set_present(true);
    item.set_value(b"v");
    item.set_revision(20);
    let mut item = items.get(1);
    item.set_key("b");
    item.set_revision(21);
}

#[test]
fn follow_as_written_before() {
    let mut message = capnp::message::Builder::new_default();
    let mut to = message.init_root::<gateway::follow_params::Builder<'_>>();
    to.set_after(17);
    to.set_wait_ms(0);
    to.set_whole(true);
    assert_eq!(bytes(&message), FOLLOW);
}

#[test]
fn changes_as_written_before() {
    let mut message = capnp::message::Builder::new_default();
    write_changes(message.init_root());
    assert_eq!(bytes(&message), CHANGES);
    let mut message = capnp::message::Builder::new_default();
    message.init_root::<news::Builder<'_>>().set_away(());
    assert_eq!(bytes(&message), AWAY);
}

#[test]
fn changes_read_as_before() {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(&parse(CHANGES)[..], options).unwrap();
    let news::Which::Changes(changes) = message
        .get_root::<news::Reader<'_>>()
        .unwrap()
        .which()
        .unwrap()
    else {
        panic!("no changes");
    };
    let changes = changes.unwrap();
    assert_eq!(
        (changes.get_revision(), changes.get_settling_ms()),
        (21, 2200)
    );
    let items = changes.get_items().unwrap();
    let items: Vec<(String, bool, u64)> = items
        .iter()
        .map(|item| {
            (
                item.get_key().unwrap().to_string().unwrap(),
                item.get_present(),
                item.get_revision(),
            )
        })
        .collect();
    assert_eq!(
        items,
        [("a".to_string(), true, 20), ("b".to_string(), false, 21)]
    );
}
