/**
 * Inquiries: a host that cannot reach a primary asks the other owners of the
 * group, and one host of every other data centre, whether they can reach it.
 */

import {Map as ImmutableMap} from 'immutable';
import {
  FRESH_STATUS_MS,
  INQUIRY_INTERVAL_MS,
  SUSPECT_QUERY_VALID_MS,
} from './constants.js';
import {
  readEndpointView,
  readGroup,
  readPromoters,
  readReport,
} from './control_status.js';
import {chooseHostInDataCentre} from './membership.js';
import {probeNow} from './probes.js';
import type {
  FinalReportRequest,
  Inquiry,
  PendingSuspectQuery,
} from './state.js';
import {setFailovers} from './updates.js';
import {indexHosts} from './view_index.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {DataCentreId, EndpointId, HostId, Instant} from '../model/ids.js';
import type {EndpointReport, SuspectedMessage} from '../model/message.js';

/** Returns the data centre of a host, or null when the host is not listed. */
export function readDataCentre(
  board: Blackboard,
  host: HostId,
): DataCentreId | null {
  return host === board.self.host
    ? board.self.dataCentre
    : (board.view.hosts.get(host)?.value.dataCentre ?? null);
}

/** Chooses the hosts to ask: all owners, and one in each other data centre. */
function chooseObservers(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): readonly HostId[] {
  const owners = readPromoters(group, board.self.host);
  const covered = new Set(owners.map(host => readDataCentre(board, host)));
  covered.add(board.self.dataCentre);
  const dataCentres = indexHosts(board.view.hosts).byDataCentre.keys();
  const extra = [...dataCentres]
    .filter(dataCentre => !covered.has(dataCentre))
    .map(dataCentre =>
      chooseHostInDataCentre(board, dataCentre, `witness:${group.id}`, now),
    )
    .filter(host => host !== null);
  return [...owners, ...extra];
}

/** Starts a round of queries unless one is in progress. */
export function reviewInquiry(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const current = board.failovers.inquiries.get(group.id);
  const isSameTerm = current?.term === group.term;
  if (isSameTerm && now - current.startedAt < INQUIRY_INTERVAL_MS) {
    return unchanged(board);
  }
  return askObservers(board, group, now, isSameTerm ? current.final : null);
}

/**
 * Requests reports of the endpoints' positions after the last acknowledgement.
 * An older report could miss a write that a replica has confirmed.
 */
export function requestFinalReports(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const final = {ask: board.relay.nextAsk, at: now};
  return askObservers(board, group, now, final);
}

function askObservers(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
  final: FinalReportRequest | null,
): Change {
  const current = board.failovers.inquiries.get(group.id);
  const isSameTerm = current?.term === group.term;
  const asked = chooseObservers(board, group, now);
  const ask = board.relay.nextAsk;
  const inquiry: Inquiry = {
    ask,
    term: group.term,
    startedAt: now,
    suspectedAt: isSameTerm ? current.suspectedAt : now,
    asked,
    final,
    answers: isSameTerm ? current.answers : ImmutableMap(),
  };
  const sends = asked.map((host): Action => ({
    type: 'send',
    host,
    msg: {type: 'suspect', ask, group: group.id, term: group.term},
  }));
  const next = setFailovers(
    {...board, relay: {...board.relay, nextAsk: ask + 1}},
    {inquiries: board.failovers.inquiries.set(group.id, inquiry)},
  );
  return {board: next, actions: sends};
}

/** Ends the inquiry of a group, if any. */
export function endInquiry(board: Blackboard, group: GroupObject): Blackboard {
  const {inquiries} = board.failovers;
  return inquiries.has(group.id)
    ? setFailovers(board, {inquiries: inquiries.delete(group.id)})
    : board;
}

/** Returns the endpoints of a group that this host owns, except the primary. */
function listOwnReplicas(
  board: Blackboard,
  group: GroupObject,
): readonly EndpointId[] {
  return group.endpoints
    .map(endpoint => endpoint.id)
    .filter(id => id !== group.primary && board.endpoints.owned.has(id));
}

/** Returns the report of the most advanced replica that this host owns. */
export function readOwnReport(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): EndpointReport | null {
  const reports = listOwnReplicas(board, group)
    .filter(id => readEndpointView(board, id).failingSince === null)
    .map(id => readReport(board, id, now))
    .filter(report => report !== null)
    .sort((a, b) => b.position.index - a.position.index)
    .sort((a, b) => b.position.term - a.position.term);
  return reports[0] ?? null;
}

/** Returns whether an endpoint was probed since an instant, or is failing. */
function isProbedSince(
  board: Blackboard,
  endpoint: EndpointId,
  since: Instant,
): boolean {
  const {failingSince, statusAt} = readEndpointView(board, endpoint);
  return failingSince !== null || (statusAt !== null && statusAt >= since);
}

/** Returns whether all own replicas were probed since an instant. */
function areReplicasProbed(
  board: Blackboard,
  group: GroupObject,
  since: Instant,
): boolean {
  return listOwnReplicas(board, group).every(id =>
    isProbedSince(board, id, since),
  );
}

/** Answers a query with the results of this host's last probes. */
function answerSuspect(
  board: Blackboard,
  query: PendingSuspectQuery,
  group: GroupObject,
  now: Instant,
): Action {
  const view = readEndpointView(board, group.primary);
  return {
    type: 'send',
    host: query.host,
    msg: {
      type: 'suspected',
      ask: query.ask,
      group: group.id,
      term: query.term,
      reachesPrimary: view.failingSince === null && view.statusAt !== null,
      report: readOwnReport(board, group, now),
      isReportNew: areReplicasProbed(board, group, query.receivedAt),
    },
  };
}

/** Returns whether the last probe of a primary is recent enough to count. */
function hasFreshProbe(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const {probedAt} = readEndpointView(board, group.primary);
  return probedAt !== null && now - probedAt < FRESH_STATUS_MS;
}

/**
 * Probes the primary and this host's replicas. Answers at once when the last
 * probe of the primary is recent, and later again with the new reports.
 */
function receiveSuspect(
  board: Blackboard,
  query: PendingSuspectQuery,
  now: Instant,
): Change {
  const group = readGroup(board, query.group);
  if (group === null || group.term !== query.term) {
    return unchanged(board);
  }
  const endpointsToProbe = [group.primary, ...listOwnReplicas(board, group)];
  const probes = chain(
    board,
    ...endpointsToProbe.map(
      id => (current: Blackboard) => probeNow(current, id, now),
    ),
  );
  const awaitsPrimaryProbe = !hasFreshProbe(board, group, now);
  const others = board.failovers.pendingSuspectQueries.filter(
    ({receivedAt}) => now - receivedAt <= SUSPECT_QUERY_VALID_MS,
  );
  const next = setFailovers(probes.board, {
    pendingSuspectQueries: [...others, {...query, awaitsPrimaryProbe}],
  });
  return {
    board: next,
    actions: awaitsPrimaryProbe
      ? probes.actions
      : [...probes.actions, answerSuspect(next, query, group, now)],
  };
}

/** Answers or keeps a query after a probe of an endpoint has ended. */
function reviewSuspectQuery(
  board: Blackboard,
  query: PendingSuspectQuery,
  observed: EndpointId,
  now: Instant,
): Change {
  const group = readGroup(board, query.group);
  if (group === null || group.term !== query.term) {
    return unchanged(board);
  }
  const isPrimaryAnswered =
    !query.awaitsPrimaryProbe || observed === group.primary;
  const areReplicasCurrent = areReplicasProbed(board, group, query.receivedAt);
  const needsProbe =
    listOwnReplicas(board, group).includes(observed) &&
    !isProbedSince(board, observed, query.receivedAt);
  const remaining = {...query, awaitsPrimaryProbe: !isPrimaryAnswered};
  const next = setFailovers(board, {
    pendingSuspectQueries: [
      ...board.failovers.pendingSuspectQueries,
      remaining,
    ],
  });
  const answer = answerSuspect(board, query, group, now);
  if (isPrimaryAnswered && areReplicasCurrent) {
    return unchanged(board, answer);
  }
  if (observed === group.primary && query.awaitsPrimaryProbe) {
    return unchanged(next, answer);
  }
  return needsProbe ? probeNow(next, observed, now) : unchanged(next);
}

const handleObserved: Handler<'endpoint_observed'> = (board, event, ctx) => {
  const {pendingSuspectQueries} = board.failovers;
  if (pendingSuspectQueries.length === 0) {
    return unchanged(board);
  }
  const steps = pendingSuspectQueries
    .filter(({receivedAt}) => ctx.now - receivedAt <= SUSPECT_QUERY_VALID_MS)
    .map(
      query => (current: Blackboard) =>
        reviewSuspectQuery(current, query, event.endpoint, ctx.now),
    );
  return chain(setFailovers(board, {pendingSuspectQueries: []}), ...steps);
};

function receiveAnswer(
  board: Blackboard,
  host: HostId,
  msg: SuspectedMessage,
  now: Instant,
): Change {
  const inquiry = board.failovers.inquiries.get(msg.group);
  if (inquiry === undefined || inquiry.term !== msg.term) {
    return unchanged(board);
  }
  const before = inquiry.answers.get(host);
  const answers = inquiry.answers.set(host, {
    reachesPrimary: msg.reachesPrimary,
    receivedAt: now,
    report: msg.isReportNew ? msg.report : (before?.report ?? null),
    reportAsk: msg.isReportNew ? msg.ask : (before?.reportAsk ?? null),
    reportAt: msg.isReportNew ? now : (before?.reportAt ?? now),
  });
  return unchanged(
    setFailovers(board, {
      inquiries: board.failovers.inquiries.set(msg.group, {
        ...inquiry,
        answers,
      }),
    }),
  );
}

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const {msg, host} = event;
  if (msg.type === 'suspect') {
    const {ask, group, term} = msg;
    const query = {
      host,
      ask,
      group,
      term,
      receivedAt: ctx.now,
      awaitsPrimaryProbe: true,
    };
    return receiveSuspect(board, query, ctx.now);
  }
  return msg.type === 'suspected'
    ? receiveAnswer(board, host, msg, ctx.now)
    : unchanged(board);
};

/** Sends and answers queries about suspected primaries. */
export const inquiryFeature: Feature = {
  name: 'inquiry',
  handlers: {
    peer_message: handlePeerMessage,
    endpoint_observed: handleObserved,
  },
};
