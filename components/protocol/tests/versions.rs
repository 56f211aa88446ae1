//! Tests of the version that two processes agree on.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::{CLIENT, SERVER, deadline_us};
use model::ProcessKey;
use monoio::net::TcpListener;
use protocol::{
    AgentLink, Connector, LinkError, LinkFault, OLDEST_VERSION, Refusal, ServerSettings, VERSION,
    VersionRange, serve_agent,
};
use runtime::StopSignal;

const OLD: VersionRange = VersionRange {
    oldest: OLDEST_VERSION,
    newest: OLDEST_VERSION,
};

const NEXT: VersionRange = VersionRange {
    oldest: VERSION,
    newest: VERSION + 1,
};

/// An agent that can be replaced by one of other versions at the same address.
struct Agent {
    address: std::net::SocketAddr,
    connector: Connector,
    stop: StopSignal,
    closed: Rc<Cell<bool>>,
}

impl Agent {
    fn start(address: &str, key: ProcessKey, versions: VersionRange) -> Self {
        let listener = TcpListener::bind(address).expect("a port");
        let agent = Self {
            address: listener.local_addr().expect("an address"),
            connector: Connector::new(key).limited_to(versions),
            stop: StopSignal::new(),
            closed: Rc::default(),
        };
        let settings = ServerSettings::builder(key)
            .connector(&agent.connector)
            .stop(agent.stop.clone())
            .build();
        let closed = Rc::clone(&agent.closed);
        monoio::spawn(async move {
            let answer = |envelope: model::OwnerEnvelope| common::agent_envelope(envelope.from);
            serve_agent(listener, settings, answer).await;
            closed.set(true);
        });
        agent
    }

    async fn replace(self, key: ProcessKey, versions: VersionRange) -> Self {
        self.stop.stop();
        while !self.closed.get() {
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        Self::start(&self.address.to_string(), key, versions)
    }
}

/// Connects, makes a call, and returns the version of the connection.
async fn call(connector: &Connector, agent: &Agent) -> Result<u32, LinkError> {
    let address = agent.address.to_string();
    let link = AgentLink::connect(connector, &address, None, deadline_us()).await?;
    let envelope = common::owner_envelope(link.peer());
    link.exchange(envelope, deadline_us()).await?;
    let open = connector.versions().open_connections();
    let version = open.into_iter().find(|(_, count)| *count > 0);
    let (version, _) = version.expect("the connection is counted");
    let at_agent = agent.connector.versions().open_connections();
    assert_eq!(at_agent.get(&version), Some(&1));
    drop(link);
    while connector
        .versions()
        .open_connections()
        .values()
        .any(|count| *count > 0)
        || agent
            .connector
            .versions()
            .open_connections()
            .values()
            .any(|count| *count > 0)
    {
        monoio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    Ok(version)
}

fn any() -> &'static str {
    "127.0.0.1:0"
}

#[test]
fn peers_use_the_newest_version_that_both_know() {
    runtime::run(async {
        for (client, server, expected) in [
            (VersionRange::OWN, VersionRange::OWN, VERSION),
            (OLD, VersionRange::OWN, OLDEST_VERSION),
            (VersionRange::OWN, OLD, OLDEST_VERSION),
            (VersionRange::OWN, NEXT, VERSION),
            (NEXT, VersionRange::OWN, VERSION),
        ] {
            let agent = Agent::start(any(), SERVER, server);
            let connector = Connector::new(CLIENT).limited_to(client);
            for _ in 0..3 {
                assert_eq!(call(&connector, &agent).await, Ok(expected));
            }
        }
    })
    .unwrap();
}

#[test]
fn peers_without_a_common_version_refuse_each_other() {
    runtime::run(async {
        let agent = Agent::start(any(), SERVER, NEXT);
        let connector = Connector::new(CLIENT).limited_to(OLD);
        let refusal = Refusal::Version {
            peer_version: NEXT.newest,
            own_version: VERSION,
        };
        let refused = LinkError::NotSent(LinkFault::Refused(refusal));
        assert_eq!(call(&connector, &agent).await, Err(refused));
    })
    .unwrap();
}

// A process that had fallen back to the version of an old peer stayed there after its upgrade, or was
// refused for good after the upgrade had been taken back.
#[test]
fn an_upgrade_of_the_peer_and_its_return_are_noticed() {
    runtime::run(async {
        let connector = Connector::new(CLIENT);
        let mut agent = Agent::start(any(), SERVER, OLD);
        for (incarnation, (versions, expected)) in [
            (OLD, OLDEST_VERSION),
            (VersionRange::OWN, VERSION),
            (VersionRange::single(VERSION), VERSION),
            (OLD, OLDEST_VERSION),
            (VersionRange::single(VERSION), VERSION),
        ]
        .into_iter()
        .enumerate()
        {
            agent = agent
                .replace(ProcessKey(100 + incarnation as u64), versions)
                .await;
            for _ in 0..2 {
                assert_eq!(call(&connector, &agent).await, Ok(expected));
            }
        }
    })
    .unwrap();
}
