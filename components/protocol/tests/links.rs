//! Tests of calls between processes.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use common::{CLIENT, SERVER, SHARD, deadline_us, entry_handlers, start_agent, start_entry};
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::join_all;
use model::{Answer, EvacuationsDigest, FirmKey, Generation, JobKey};
use monoio::net::TcpListener;
use protocol::{
    AgentLink, BootstrapLink, BootstrapReply, BootstrapRequest, CancelReply, ConfigurationPart,
    ConfigurationPartRequest, Connector, EntryHandlers, EntryLink, EntryPool, HandoverOffer,
    HostAnnouncement, HostAnnouncementReply, HostContact, LinkError, LinkFault, MAX_FRAME_BYTES,
    ServerSettings, StatusReply, SubmitReply, serve_bootstrap,
};

async fn entry_link(server: &common::Server) -> EntryLink {
    let address = server.address.to_string();
    let link = EntryLink::connect(
        &Connector::new(CLIENT),
        &address,
        Some(SERVER),
        deadline_us(),
    )
    .await;
    link.unwrap()
}

fn complete(payload: &Bytes) -> SubmitReply {
    SubmitReply::Answered(Answer::Complete(vec![payload.clone()]))
}

#[test]
fn agent_answers_an_exchange() {
    runtime::run(async {
        let server = start_agent(1);
        let address = server.address.to_string();
        let link = AgentLink::connect(&Connector::new(CLIENT), &address, None, deadline_us())
            .await
            .unwrap();
        let envelope = common::owner_envelope(SERVER);
        let answer = link.exchange(envelope, deadline_us()).await;
        assert_eq!(answer, Ok(common::agent_envelope(CLIENT)));
        assert_eq!(link.peer(), SERVER);
        assert_eq!(server.counters.open_connections(), 1);
    })
    .unwrap();
}

#[test]
fn both_ends_count_the_same_traffic() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let connector = Connector::new(CLIENT);
        let traffic = connector.traffic();
        let pool = EntryPool::new(connector.clone());
        let address = server.address.to_string();
        let link = pool.link(&address, Some(SERVER)).await.unwrap();
        let job = JobKey::new(FirmKey::from_name("north"), "a");
        for _ in 0..3 {
            link.status(job, deadline_us()).await.unwrap();
        }
        assert_eq!((traffic.sent_frames(), traffic.received_frames()), (3, 3));
        assert_eq!(
            traffic.sent_bytes(),
            server.connector.traffic().received_bytes()
        );
        assert_eq!(
            traffic.received_bytes(),
            server.connector.traffic().sent_bytes()
        );
        assert!(traffic.sent_bytes() > 3 * 4);
    })
    .unwrap();
}

#[test]
fn entry_answers_every_call() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let link = entry_link(&server).await;
        let key = JobKey::new(FirmKey(5), "job");

        let reply = link
            .announce(common::agent_info(), 1, deadline_us())
            .await
            .unwrap();
        assert_eq!(reply.entries, [common::entry_info(CLIENT)]);
        let reply = link
            .exchange(common::agent_envelope(SERVER), deadline_us())
            .await
            .unwrap();
        assert_eq!(reply, common::owner_envelope(SERVER));
        let payload = Bytes::from_static(b"{}");
        let reply = link
            .submit(common::job(payload.clone()), 1, deadline_us())
            .await
            .unwrap();
        assert_eq!(reply, complete(&payload));
        let reply = link.status(key, deadline_us()).await.unwrap();
        assert_eq!(reply, StatusReply::NotFound);
        let reply = link.cancel(key, deadline_us()).await.unwrap();
        assert_eq!(reply, CancelReply::Cancelling);
        let reply = link.ping(common::ping(), deadline_us()).await.unwrap();
        assert_eq!(reply.owned, common::ping().owned);
        let hand_over = HandoverOffer {
            shard: SHARD,
            generation: Generation(7),
            table: Bytes::from_static(b"table"),
        };
        let reply = link.hand_over(hand_over, deadline_us()).await.unwrap();
        assert!(reply.accepted);
    })
    .unwrap();
}

#[test]
fn answers_out_of_order_reach_their_callers() {
    runtime::run(async {
        let waiting = Rc::new(RefCell::new(Vec::new()));
        let releases = Rc::clone(&waiting);
        let server = start_entry(entry_handlers().submit(move |job, _| {
            let (release, released) = oneshot::channel::<()>();
            releases.borrow_mut().push(release);
            if releases.borrow().len() == 64 {
                releases
                    .take()
                    .into_iter()
                    .rev()
                    .for_each(|release| release.send(()).unwrap());
            }
            async move {
                released.await.unwrap();
                complete(&job.tasks[0].payload)
            }
        }));
        let link = entry_link(&server).await;
        let calls = (0..64_u8).map(|index| {
            let payload = Bytes::from(vec![index; 100]);
            let reply = link.submit(common::job(payload.clone()), 0, deadline_us());
            reply.map(move |reply| assert_eq!(reply, Ok(complete(&payload))))
        });
        join_all(calls).await;
    })
    .unwrap();
}

#[test]
fn call_larger_than_a_frame_is_not_sent() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let link = entry_link(&server).await;
        let job = common::job(Bytes::from(vec![0; MAX_FRAME_BYTES]));
        let error = link.submit(job, 0, deadline_us()).await.unwrap_err();
        assert!(
            matches!(error, LinkError::NotSent(LinkFault::Unsendable(_))),
            "{error}"
        );
        assert!(link.ping(common::ping(), deadline_us()).await.is_ok());
    })
    .unwrap();
}

#[test]
fn answer_larger_than_a_frame_is_reported() {
    runtime::run(async {
        let server = start_entry(
            entry_handlers()
                .submit(|_, _| async { complete(&Bytes::from(vec![0; MAX_FRAME_BYTES])) }),
        );
        let link = entry_link(&server).await;
        let error = link
            .submit(common::job(Bytes::new()), 0, deadline_us())
            .await;
        assert_eq!(error, Err(LinkError::Unknown(LinkFault::AnswerTooLarge)));
        assert!(link.ping(common::ping(), deadline_us()).await.is_ok());
    })
    .unwrap();
}

#[test]
fn large_call_within_a_frame_is_answered() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let link = entry_link(&server).await;
        let payload = Bytes::from(vec![1; MAX_FRAME_BYTES - 1_024]);
        let reply = link
            .submit(common::job(payload.clone()), 0, deadline_us())
            .await;
        assert!(reply == Ok(complete(&payload)));
    })
    .unwrap();
}

#[test]
fn call_after_its_deadline_is_not_sent() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let link = entry_link(&server).await;
        let error = link.ping(common::ping(), 0).await;
        assert_eq!(error, Err(LinkError::NotSent(LinkFault::DeadlinePassed)));
        let address = server.address.to_string();
        let error = EntryLink::connect(&Connector::new(CLIENT), &address, None, 0)
            .await
            .err();
        assert_eq!(error, Some(LinkError::NotSent(LinkFault::DeadlinePassed)));
    })
    .unwrap();
}

#[test]
fn outcome_is_unknown_when_the_deadline_passes() {
    runtime::run(async {
        let server = start_entry(entry_handlers().submit(|_, _| std::future::pending()));
        let link = entry_link(&server).await;
        let soon_us = runtime::monotonic_us() + 20_000;
        let error = link.submit(common::job(Bytes::new()), 0, soon_us).await;
        assert_eq!(error, Err(LinkError::Unknown(LinkFault::DeadlinePassed)));
        assert!(!link.is_closed());
    })
    .unwrap();
}

#[test]
fn handler_is_dropped_when_the_call_is_cancelled() {
    assert_handler_is_dropped_after(|link| link);
}

#[test]
fn handler_is_dropped_when_the_connection_ends() {
    assert_handler_is_dropped_after(drop);
}

fn assert_handler_is_dropped_after<T>(keep_or_drop: impl FnOnce(EntryLink) -> T) {
    runtime::run(async {
        let (started, has_started) = oneshot::channel::<()>();
        let (running, dropped) = oneshot::channel::<()>();
        let handler_channels = RefCell::new(Some((started, running)));
        let server = start_entry(entry_handlers().submit(move |_, _| {
            let (started, running) = handler_channels.take().unwrap();
            started.send(()).unwrap();
            async move {
                let _running = running;
                std::future::pending().await
            }
        }));
        let link = entry_link(&server).await;
        let call = Box::pin(link.submit(common::job(Bytes::new()), 0, deadline_us()));
        drop(futures::future::select(call, has_started).await);
        let _link = keep_or_drop(link);
        assert!(dropped.await.is_err());
    })
    .unwrap();
}

#[test]
fn calls_in_flight_finish_after_the_stop() {
    runtime::run(async {
        let (release, released) = oneshot::channel::<()>();
        let (started, has_started) = oneshot::channel::<()>();
        let handler_channels = RefCell::new(Some((started, released)));
        let server = start_entry(entry_handlers().submit(move |job, _| {
            let (started, released) = handler_channels.take().unwrap();
            started.send(()).unwrap();
            async move {
                released.await.unwrap();
                complete(&job.tasks[0].payload)
            }
        }));
        let link = entry_link(&server).await;
        let idle = entry_link(&server).await;
        let payload = Bytes::from_static(b"1");
        let caller = link.clone();
        let job = common::job(payload.clone());
        let call = monoio::spawn(async move { caller.submit(job, 0, deadline_us()).await });
        has_started.await.unwrap();

        server.stop.stop();
        idle.closed().await;
        assert!(!link.is_closed());
        release.send(()).unwrap();
        assert_eq!(call.await, Ok(complete(&payload)));
        link.closed().await;
        let error = link.ping(common::ping(), deadline_us()).await;
        assert_eq!(error, Err(LinkError::NotSent(LinkFault::Closed)));
        let address = server.address.to_string();
        let refused =
            EntryLink::connect(&Connector::new(CLIENT), &address, None, deadline_us()).await;
        let expected = LinkError::NotSent(LinkFault::NobodyListens);
        assert_eq!(refused.err(), Some(expected));
    })
    .unwrap();
}

#[test]
fn dropped_link_closes_the_connection() {
    runtime::run(async {
        let server = start_entry(entry_handlers());
        let dropped = entry_link(&server).await;
        let link = entry_link(&server).await;
        assert_eq!(server.counters.open_connections(), 2);
        drop(dropped);
        while server.counters.open_connections() > 1 {
            link.ping(common::ping(), deadline_us()).await.unwrap();
        }
    })
    .unwrap();
}

#[test]
fn missing_handler_fails_the_build() {
    let error = EntryHandlers::builder().build().err().unwrap();
    assert_eq!(error.name, "announce");
}

fn host_contact() -> HostContact {
    HostContact {
        name: "host-1".to_owned(),
        address: "10.0.2.7:7100".parse().unwrap(),
        failure_domain: "domain-1".to_owned(),
    }
}

// Hosts were sent as registrations, whose absent target could not be read back: every reply with a
// host broke the connection.
#[test]
fn hosts_cross_the_bootstrap_service_and_a_call_without_news_takes_a_few_hundred_bytes() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries: Vec<SocketAddr> = (0..32).map(|_| address).collect();
        let named = entries.clone();
        let bootstrap = move |request: BootstrapRequest| BootstrapReply {
            revision: 7,
            hosts: request.wants_hosts.then(host_contact).into_iter().collect(),
            entries: named.clone(),
            ..BootstrapReply::default()
        };
        let announce = |announcement: HostAnnouncement| {
            assert_eq!(announcement.host, host_contact());
            HostAnnouncementReply {
                entries: announcement.entries,
            }
        };
        let part = |request: ConfigurationPartRequest| ConfigurationPart {
            revision: request.revision,
            offset_bytes: request.offset_bytes,
            ..ConfigurationPart::default()
        };
        let settings = ServerSettings::builder(SERVER).build();
        monoio::spawn(serve_bootstrap(
            listener, settings, bootstrap, part, announce,
        ));
        let connector = Connector::new(CLIENT);
        let traffic = connector.traffic();
        let address = address.to_string();
        let link = BootstrapLink::connect(&connector, &address, deadline_us());
        let link = link.await.unwrap();
        let request = BootstrapRequest {
            address: Some(entries[0]),
            revision: 7,
            downloading_revision: 0,
            host_count: 74,
            evacuations: Some(EvacuationsDigest::default()),
            wants_hosts: false,
            seen_hosts_digest: u64::MAX,
        };
        let reply = link.bootstrap(request.clone(), deadline_us()).await;
        assert_eq!(reply.unwrap().entries, entries);
        let bytes = traffic.sent_bytes() + traffic.received_bytes();
        assert!(bytes < 500, "{bytes} bytes");
        let request = BootstrapRequest {
            wants_hosts: true,
            ..request
        };
        let reply = link.bootstrap(request, deadline_us()).await;
        assert_eq!(reply.unwrap().hosts, [host_contact()]);
        let request = ConfigurationPartRequest {
            revision: 7,
            offset_bytes: 32_768,
        };
        let part = link.configuration_part(request, deadline_us()).await;
        assert_eq!(part.unwrap().offset_bytes, 32_768);
        let announcement = HostAnnouncement {
            host: host_contact(),
            entries: entries.clone(),
        };
        let reply = link.announce(announcement, deadline_us()).await;
        assert_eq!(reply.unwrap().entries, entries);
    })
    .unwrap();
}
