//! Whose request it is, by its credentials.

use endivespur_core::gateway::team::{
    Credentials, Denial, Identity, Key, Quota, Team, Teams, Unit, digest,
};

/// Invalid credentials passed as none, or the routes of anonymous callers refused those of teams.
#[test]
fn team_identify() {
    let keys = |keys: &[&str]| keys.iter().map(ToString::to_string).collect();
    let teams = Teams::new()
        .with_team("hymns", Team::default(), keys(&["k-1", "k 2"]))
        .with_team("psalms", Team::default(), Vec::new());
    let hymns = Identity::Team("hymns".to_string());
    for is_open in [false, true] {
        let identify = |credentials| teams.identify(credentials, is_open);
        let key = |text| Credentials::Key(Key::new(text));
        let unusual = |text| Credentials::Unusual(Key::new(text));
        assert_eq!(identify(key("k-1")), Ok(hymns.clone()));
        assert_eq!(identify(unusual("k 2")), Ok(hymns.clone()));
        assert_eq!(identify(key("k-2")), Err(Denial::Unknown));
        assert_eq!(identify(key("")), Err(Denial::Unknown));
        assert_eq!(identify(unusual("k 3")), Err(Denial::Malformed));
        assert_eq!(identify(Credentials::Malformed), Err(Denial::Malformed));
        assert_eq!(identify(Credentials::Doubled), Err(Denial::Doubled));
    }
    assert_eq!(
        teams.identify(Credentials::Missing, true),
        Ok(Identity::Anonymous)
    );
    assert_eq!(
        teams.identify(Credentials::Missing, false),
        Err(Denial::Missing)
    );
    assert_eq!(
        Teams::new().identify(Credentials::Missing, true),
        Ok(Identity::Anonymous)
    );
    assert_eq!(teams.digests()["psalms"], Vec::<String>::new());
    assert_eq!(teams.digests()["hymns"].len(), 2);
}

/// Operators compare digests with those of other tools: the first 12 digits of the SHA-256 hash.
#[test]
fn team_digest() {
    assert_eq!(digest("abc"), "ba7816bf8f01");
}

/// Teams without quotas, or with quotas in different units, were compared by their rates.
#[test]
fn team_share() {
    let quota = |rate, unit| Team {
        quota: Some(Quota {
            rate,
            burst: 0.0,
            unit,
        }),
        ..Team::default()
    };
    let tokens = Unit::Tokens { plain: 200 };
    let teams = Teams::new()
        .with_team("a", quota(300.0, tokens), Vec::new())
        .with_team("b", quota(100.0, tokens), Vec::new());
    let share = |teams: &Teams, name| format!("{:.2}", teams.share(name));
    let shares = ["a", "b", "c"].map(|name| share(&teams, name));
    assert_eq!(shares, ["1.50", "0.50", "1.00"]);
    for other in [quota(100.0, Unit::Requests), Team::default()] {
        let teams = teams.clone().with_team("c", other, Vec::new());
        assert_eq!(share(&teams, "a"), "1.00");
    }
}
