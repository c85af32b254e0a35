/**
 * Inquiries: a host that does not reach a primary asks the other owners of the
 * group, and a host of each further data centre, whether they do.
 */

import {Map as ImmutableMap} from 'immutable';
import {
  FRESH_STATUS_MS,
  INQUIRY_INTERVAL_MS,
  QUESTION_VALID_MS,
} from './constants.js';
import {
  readEndpointView,
  readGroup,
  readPromoters,
  readReport,
} from './facts.js';
import {chooseNear} from './membership.js';
import {probeNow} from './probes.js';
import type {FinalQuestion, Inquiry, PendingSuspect} from './state.js';
import {setFailovers} from './updates.js';
import {indexHosts} from './view_index.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {DataCentreId, EndpointId, HostId, Instant} from '../model/ids.js';
import type {EndpointReport, SuspectedMessage} from '../model/message.js';

/** Returns the data centre of a host, or null when it is not listed. */
export function readDataCentre(
  board: Blackboard,
  host: HostId,
): DataCentreId | null {
  return host === board.self.host
    ? board.self.dataCentre
    : (board.view.hosts.get(host)?.value.dataCentre ?? null);
}

/** Chooses whom to ask: all owners, and one host per further data centre. */
function chooseWitnesses(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): readonly HostId[] {
  const owners = readPromoters(group, board.self.host);
  const covered = new Set(owners.map(host => readDataCentre(board, host)));
  covered.add(board.self.dataCentre);
  const places = indexHosts(board.view.hosts).byDataCentre.keys();
  const extra = [...places]
    .filter(dataCentre => !covered.has(dataCentre))
    .map(dataCentre =>
      chooseNear(board, dataCentre, `witness:${group.id}`, now),
    )
    .filter(host => host !== null);
  return [...owners, ...extra];
}

/** Begins a round of questions unless one is in progress. */
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
  return askWitnesses(board, group, now, isSameTerm ? current.final : null);
}

/**
 * Asks for reports that tell what endpoints have after the last
 * acknowledgement: one older than that could miss a write that a replica has
 * confirmed.
 */
export function askFinally(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const final = {ask: board.relay.nextAsk, at: now};
  return askWitnesses(board, group, now, final);
}

function askWitnesses(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
  final: FinalQuestion | null,
): Change {
  const current = board.failovers.inquiries.get(group.id);
  const isSameTerm = current?.term === group.term;
  const asked = chooseWitnesses(board, group, now);
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

/** Ends the inquiry of a group whose primary answers again. */
export function endInquiry(board: Blackboard, group: GroupObject): Blackboard {
  const {inquiries} = board.failovers;
  return inquiries.has(group.id)
    ? setFailovers(board, {inquiries: inquiries.delete(group.id)})
    : board;
}

/** Returns the endpoints of a group, but the primary, that this host owns. */
function listOwnReplicas(
  board: Blackboard,
  group: GroupObject,
): readonly EndpointId[] {
  return group.endpoints
    .map(endpoint => endpoint.id)
    .filter(id => id !== group.primary && board.endpoints.owned.has(id));
}

/** Returns the best report of the replicas of a group that this host owns. */
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

/** Tells whether an endpoint was probed since an instant, or fails. */
function isProbedSince(
  board: Blackboard,
  endpoint: EndpointId,
  since: Instant,
): boolean {
  const {failingSince, statusAt} = readEndpointView(board, endpoint);
  return failingSince !== null || (statusAt !== null && statusAt >= since);
}

/** Tells whether all own replicas were probed since an instant. */
function areReplicasProbed(
  board: Blackboard,
  group: GroupObject,
  since: Instant,
): boolean {
  return listOwnReplicas(board, group).every(id =>
    isProbedSince(board, id, since),
  );
}

/** Answers a question from what this host's last probes said. */
function answerSuspect(
  board: Blackboard,
  question: PendingSuspect,
  group: GroupObject,
  now: Instant,
): Action {
  const view = readEndpointView(board, group.primary);
  return {
    type: 'send',
    host: question.host,
    msg: {
      type: 'suspected',
      ask: question.ask,
      group: group.id,
      term: question.term,
      reachesPrimary: view.failingSince === null && view.statusAt !== null,
      report: readOwnReport(board, group, now),
      isReportNew: areReplicasProbed(board, group, question.receivedAt),
    },
  };
}

/** Tells whether the last probe of a primary is recent enough to go by. */
function hasFreshProbe(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const {probedAt} = readEndpointView(board, group.primary);
  return probedAt !== null && now - probedAt < FRESH_STATUS_MS;
}

/** Probes a primary and the own replicas, and answers what is known. */
function receiveSuspect(
  board: Blackboard,
  question: PendingSuspect,
  now: Instant,
): Change {
  const group = readGroup(board, question.group);
  if (group === null || group.term !== question.term) {
    return unchanged(board);
  }
  const wanted = [group.primary, ...listOwnReplicas(board, group)];
  const probes = chain(
    board,
    ...wanted.map(id => (current: Blackboard) => probeNow(current, id, now)),
  );
  const awaitsPrimary = !hasFreshProbe(board, group, now);
  const others = board.failovers.pendingSuspects.filter(
    ({receivedAt}) => now - receivedAt <= QUESTION_VALID_MS,
  );
  const next = setFailovers(probes.board, {
    pendingSuspects: [...others, {...question, awaitsPrimary}],
  });
  return {
    board: next,
    actions: awaitsPrimary
      ? probes.actions
      : [...probes.actions, answerSuspect(next, question, group, now)],
  };
}

/** Goes on with one question after an endpoint was observed. */
function reviewQuestion(
  board: Blackboard,
  question: PendingSuspect,
  observed: EndpointId,
  now: Instant,
): Change {
  const group = readGroup(board, question.group);
  if (group === null || group.term !== question.term) {
    return unchanged(board);
  }
  const isAnswered = !question.awaitsPrimary || observed === group.primary;
  const isNew = areReplicasProbed(board, group, question.receivedAt);
  const isWanted =
    listOwnReplicas(board, group).includes(observed) &&
    !isProbedSince(board, observed, question.receivedAt);
  const left = {...question, awaitsPrimary: !isAnswered};
  const kept = setFailovers(board, {
    pendingSuspects: [...board.failovers.pendingSuspects, left],
  });
  const answer = answerSuspect(board, question, group, now);
  if (isAnswered && isNew) {
    return unchanged(board, answer);
  }
  if (observed === group.primary && question.awaitsPrimary) {
    return unchanged(kept, answer);
  }
  return isWanted ? probeNow(kept, observed, now) : unchanged(kept);
}

const handleObserved: Handler<'endpoint_observed'> = (board, event, ctx) => {
  const {pendingSuspects} = board.failovers;
  if (pendingSuspects.length === 0) {
    return unchanged(board);
  }
  const steps = pendingSuspects
    .filter(({receivedAt}) => ctx.now - receivedAt <= QUESTION_VALID_MS)
    .map(
      question => (current: Blackboard) =>
        reviewQuestion(current, question, event.endpoint, ctx.now),
    );
  return chain(setFailovers(board, {pendingSuspects: []}), ...steps);
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
    const question = {
      host,
      ask,
      group,
      term,
      receivedAt: ctx.now,
      awaitsPrimary: true,
    };
    return receiveSuspect(board, question, ctx.now);
  }
  return msg.type === 'suspected'
    ? receiveAnswer(board, host, msg, ctx.now)
    : unchanged(board);
};

/** Asks and answers questions about suspected primaries. */
export const inquiryFeature: Feature = {
  name: 'inquiry',
  handlers: {
    peer_message: handlePeerMessage,
    endpoint_observed: handleObserved,
  },
};
