//! Serves remote calls from other gateways.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_clock as clock;
use endivespur_core::clock::millis;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::feed::Cursor;
use endivespur_core::gateway::limit::Limit;
use endivespur_core::gateway::room;
use endivespur_core::gateway::stream::Key;
use endivespur_wire::gateway_capnp::gateway;
use futures_util::AsyncReadExt;
use log::debug;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::authorize;
use crate::message;
use crate::owned::{Ended, Reply};
use crate::quota;
use crate::reach;
use crate::record;
use crate::state::State;
use crate::stream;
use crate::update;

/// The pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other gateways until the future is dropped.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                stream.set_nodelay(true).ok();
                state.spawn(serve_connection(state.clone(), stream));
            }
            Err(error) => {
                debug!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<State>, stream: TcpStream) {
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    let server: gateway::Client = capnp_rpc::new_client(Server { state });
    let system = RpcSystem::new(Box::new(network), Some(server.client));
    if let Err(error) = system.await {
        debug!(event = "peer-connection"; "{error}");
    }
}

struct Server {
    state: Rc<State>,
}

impl gateway::Server for Server {
    async fn ask(
        self: Rc<Self>,
        params: gateway::AskParams,
        mut results: gateway::AskResults,
    ) -> Result<(), capnp::Error> {
        let (endpoint, mut request, wait) = message::read_request(params.get()?.get_ask()?)?;
        request.team_share = authorize::share(&self.state, Some(&request.team));
        let reply = self
            .state
            .owned_engines
            .request_grant(&endpoint, &request, wait)
            .await;
        let mut to = results.get().init_reply();
        match reply {
            Reply::Granted(grant) => to.set_granted(grant),
            Reply::Busy(backlog) => to.set_busy_ms(millis(backlog)),
            Reply::NotOwner => to.set_not_owner(()),
            Reply::Late => to.set_late(()),
        }
        Ok(())
    }

    async fn began(
        self: Rc<Self>,
        params: gateway::BeganParams,
        _: gateway::BeganResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = params.get_endpoint()?.to_str()?;
        self.state.owned_engines.response_started(
            endpoint,
            params.get_grant(),
            params.get_slowdown(),
        );
        Ok(())
    }

    async fn crashed(
        self: Rc<Self>,
        params: gateway::CrashedParams,
        _: gateway::CrashedResults,
    ) -> Result<(), capnp::Error> {
        record::receive(&self.state, params.get()?.get_records()?, "peer");
        Ok(())
    }

    async fn token(
        self: Rc<Self>,
        params: gateway::TokenParams,
        mut results: gateway::TokenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let now = clock::now();
        let age = Duration::from_millis(u64::from(params.get_age_ms()));
        let limit = Limit {
            rate: params.get_rate(),
            named_at: now.saturating_sub(age),
        };
        let endpoint = params.get_endpoint()?.to_str()?;
        let decision = {
            let mut limits = self.state.limits.borrow_mut();
            limits.decide(now, endpoint, limit)
        };
        message::write_decision(results.get().init_reply(), decision);
        Ok(())
    }

    async fn hold_room(
        self: Rc<Self>,
        params: gateway::HoldRoomParams,
        mut results: gateway::HoldRoomResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let now = clock::now();
        let request = room::Request {
            share: params.get_share(),
            max_rejections: params.get_max_rejections(),
            until: now + Duration::from_millis(u64::from(params.get_hold_ms())),
        };
        let endpoint = params.get_endpoint()?.to_str()?;
        let reply = {
            let mut rooms = self.state.rooms.borrow_mut();
            rooms.hold(now, endpoint, &request)
        };
        message::write_room(results.get().init_reply(), reply);
        Ok(())
    }

    async fn release_room(
        self: Rc<Self>,
        params: gateway::ReleaseRoomParams,
        _: gateway::ReleaseRoomResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (hold, is_rejected) = (params.get_hold(), params.get_rejected());
        let endpoint = params.get_endpoint()?.to_str()?;
        let mut rooms = self.state.rooms.borrow_mut();
        rooms.release(clock::now(), endpoint, hold, is_rejected);
        Ok(())
    }

    async fn limit_ended(
        self: Rc<Self>,
        params: gateway::LimitEndedParams,
        _: gateway::LimitEndedResults,
    ) -> Result<(), capnp::Error> {
        let endpoint = params.get()?.get_endpoint()?.to_str()?;
        let mut limits = self.state.limits.borrow_mut();
        limits.ended(clock::now(), endpoint);
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: gateway::BorrowParams,
        mut results: gateway::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let team = params.get_team()?.to_str()?;
        let loan = quota::lend(&self.state, team, params.get_needed(), params.get_wanted());
        message::write_loan(results.get().init_loan(), loan);
        Ok(())
    }

    async fn give_back(
        self: Rc<Self>,
        params: gateway::GiveBackParams,
        _: gateway::GiveBackResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let team = params.get_team()?.to_str()?;
        let mut quotas = self.state.quotas.tracker.borrow_mut();
        quotas.give_back(clock::now(), team, params.get_amount());
        Ok(())
    }

    async fn streams_began(
        self: Rc<Self>,
        params: gateway::StreamsBeganParams,
        _: gateway::StreamsBeganResults,
    ) -> Result<(), capnp::Error> {
        let batch = message::read_streams(params.get()?.get_streams()?)?;
        stream::learned(&self.state, batch);
        Ok(())
    }

    async fn locate_streams(
        self: Rc<Self>,
        params: gateway::LocateStreamsParams,
        mut results: gateway::LocateStreamsResults,
    ) -> Result<(), capnp::Error> {
        let keys: Vec<Key> = params.get()?.get_keys()?.iter().collect();
        let batch = stream::known(&self.state, &keys);
        message::write_streams(results.get().init_streams(batch.len() as u32), &batch)
    }

    async fn reach(
        self: Rc<Self>,
        params: gateway::ReachParams,
        mut results: gateway::ReachResults,
    ) -> Result<(), capnp::Error> {
        let endpoint = params.get()?.get_endpoint()?.to_str()?;
        let reach = reach::check(&self.state, endpoint).await;
        results.get().set_reach(message::encode_reach(reach));
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: gateway::FollowParams,
        mut results: gateway::FollowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let (after, with_large_values) = (params.get_after(), params.get_whole());
        let update = update::next_complete(&self.state, after, wait, with_large_values).await;
        message::write_news(results.get().init_news(), &update);
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: gateway::ChangesParams,
        mut results: gateway::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let after = Cursor {
            revision: params.get_after(),
            small_revision: params.get_after_small(),
        };
        let update = update::next_update(&self.state, after, wait).await;
        message::write_update(results.get().init_update(), &update);
        Ok(())
    }

    async fn value(
        self: Rc<Self>,
        params: gateway::ValueParams,
        mut results: gateway::ValueResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = params.get_key()?.to_str()?;
        let (revision, base) = (params.get_revision(), params.get_base());
        let offset = params.get_offset() as usize;
        let (values, feed) = (&self.state.values, &self.state.feed);
        let answer = values.piece(feed, key, revision, base, offset).await;
        message::write_value(results.get().init_reply(), &answer);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: gateway::ReleaseParams,
        _: gateway::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let weights = Weights::new(
            params.get_base()?.to_str()?,
            params.get_adapter()?.to_str()?,
        );
        self.state.owned_engines.release(
            params.get_endpoint()?.to_str()?,
            &weights,
            params.get_grant(),
            Ended {
                is_adapter_missing: params.get_missing(),
                slowdown: params.get_slowdown(),
                longest_pause: Duration::from_millis(u64::from(params.get_longest_pause_ms())),
            },
        );
        Ok(())
    }
}
