/**
 * Unplanned changes of primary. The write owner of a dead primary names the
 * next one at once, since it alone could acknowledge. Where the write owner is
 * gone too, a promoter raises a fence, waits until all evidence has expired,
 * and names the next one then.
 */

import {
  EVIDENCE_LAPSE_MS,
  FENCE_ABANDONED_MS,
  FRESH_REPORT_MS,
  INQUIRY_TIMEOUT_MS,
  ISOLATED_OWNER_MS,
  PROMOTER_STAGGER_MS,
  SUSPECT_AFTER_MS,
  SUSPECT_REFUSALS,
  WRITE_OWNER_FIRST_MS,
} from './constants.js';
import {isWriteOwner, readEndpointView, readPromoters} from './facts.js';
import {endInquiry, readDataCentre, reviewInquiry} from './inquiry.js';
import {mayChangePrimary} from './confirmation.js';
import {reviewPromotion} from './promotion.js';
import {stopAcknowledging} from './stop.js';
import {reviewCalm} from './resume.js';
import type {Inquiry, InquiryAnswer} from './state.js';
import {
  canUpdateGroup,
  createAttemptId,
  setFailovers,
  updateGroup,
} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import {findWriteOwner} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {HostId, Instant} from '../model/ids.js';

/** Tells whether this host has reason to believe that a primary is down. */
function isPrimarySuspected(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const view = readEndpointView(board, group.primary);
  if (view.failingSince === null) {
    return false;
  }
  const lastGoodAt = view.statusAt ?? view.failingSince;
  return (
    view.refusals >= SUSPECT_REFUSALS || now - lastGoodAt >= SUSPECT_AFTER_MS
  );
}

/** An answer of a host, while it is recent enough to count. */
interface Witness {
  readonly host: HostId;
  readonly answer: InquiryAnswer;
}

function listWitnesses(inquiry: Inquiry, now: Instant): readonly Witness[] {
  return [...inquiry.answers.entries()]
    .filter(([, answer]) => now - answer.receivedAt <= FRESH_REPORT_MS)
    .map(([host, answer]) => ({host, answer}));
}

/** Tells whether an inquiry has all answers, or has waited long enough. */
function isInquiryRipe(inquiry: Inquiry, now: Instant): boolean {
  const isComplete = inquiry.asked.every(host => {
    const answer = inquiry.answers.get(host);
    return answer !== undefined && answer.receivedAt >= inquiry.startedAt;
  });
  return isComplete || now - inquiry.startedAt >= INQUIRY_TIMEOUT_MS;
}

/** Tells whether a host of another data centre does not reach it either. */
function hasSecondObserver(
  board: Blackboard,
  witnesses: readonly Witness[],
): boolean {
  return witnesses.some(
    ({host, answer}) =>
      !answer.reachesPrimary &&
      readDataCentre(board, host) !== board.self.dataCentre,
  );
}

/** Tells whether the site has no other data centre that could observe. */
function isOnlyDataCentre(board: Blackboard): boolean {
  return !board.view.hosts.some(
    host => host.value.dataCentre !== board.self.dataCentre,
  );
}

/** Decides as the write owner of a suspected primary. */
function actAsWriteOwner(
  board: Blackboard,
  group: GroupObject,
  inquiry: Inquiry,
  ctx: Context,
): Change {
  const witnesses = listWitnesses(inquiry, ctx.now);
  const isReachedByOthers = witnesses.some(w => w.answer.reachesPrimary);
  const isAlone = ctx.now - inquiry.suspectedAt >= ISOLATED_OWNER_MS;
  const isAgreed =
    !isReachedByOthers &&
    (hasSecondObserver(board, witnesses) || isOnlyDataCentre(board));
  if (!isAgreed && !(isAlone && witnesses.length > 0)) {
    return unchanged(board);
  }
  return chain(
    board,
    current => stopAcknowledging(current, group),
    current => reviewPromotion(current, group, ctx),
  );
}

/**
 * Tells whether this host is a promoter whose own promises and restart allow a
 * fence: the registered owner of a replica. A write owner asks these alone for
 * promises. It asks neither an owner that is not registered yet, nor a host
 * that took the primary over from it within the term.
 */
function mayFence(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const isPromoter = group.endpoints.some(
    ({id}) => id !== group.primary && group.owners[id] === board.self.host,
  );
  if (!isPromoter) {
    return false;
  }
  const promisedUntil = board.failovers.given.get(group.id)?.until ?? -Infinity;
  const restartedUntil = board.self.startedAt + EVIDENCE_LAPSE_MS;
  return now >= promisedUntil && now >= restartedUntil;
}

function raiseFence(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  if (
    !mayFence(board, group, ctx.now) ||
    !canUpdateGroup(board, group.id, ctx.now)
  ) {
    return unchanged(board);
  }
  const attempt = createAttemptId(board, ctx);
  const value: GroupObject = {
    ...group,
    fence: {
      term: group.term,
      by: board.self.host,
      attempt,
      confirmed: false,
    },
  };
  return updateGroup(board, value, 'fence', attempt, ctx);
}

/** Returns how long this promoter lets others go first. */
function readTurn(board: Blackboard, group: GroupObject): number {
  const writer = findWriteOwner(group);
  const promoters = readPromoters(group, writer ?? '');
  const position = promoters.indexOf(board.self.host);
  return Math.max(0, position) * PROMOTER_STAGGER_MS;
}

/** Decides as a promoter that is not the write owner. */
function actAsPromoter(
  board: Blackboard,
  group: GroupObject,
  inquiry: Inquiry,
  ctx: Context,
): Change {
  const witnesses = listWitnesses(inquiry, ctx.now);
  if (witnesses.some(witness => witness.answer.reachesPrimary)) {
    return unchanged(board);
  }
  const writer = findWriteOwner(group);
  const isWriterThere = witnesses.some(witness => witness.host === writer);
  const patience = isWriterThere ? WRITE_OWNER_FIRST_MS : 0;
  const actAt = inquiry.suspectedAt + patience + readTurn(board, group);
  if (ctx.now < actAt || !hasSecondObserver(board, witnesses)) {
    return unchanged(board);
  }
  return raiseFence(board, group, ctx);
}

function reviewSuspicion(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const asked = reviewInquiry(board, group, ctx.now);
  const inquiry = asked.board.failovers.inquiries.get(group.id);
  if (inquiry === undefined || !isInquiryRipe(inquiry, ctx.now)) {
    return asked;
  }
  const act = mayChangePrimary(asked.board, group, ctx.now)
    ? actAsWriteOwner
    : actAsPromoter;
  const change = act(asked.board, group, inquiry, ctx);
  return {
    board: change.board,
    actions: [...asked.actions, ...change.actions],
  };
}

/** Notes when a fence was first seen; evidence expires counted from there. */
function noteFence(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Blackboard {
  const seen = board.failovers.fences.get(group.id);
  if (group.fence === null) {
    return seen === undefined
      ? board
      : setFailovers(board, {
          fences: board.failovers.fences.delete(group.id),
        });
  }
  if (seen?.attempt === group.fence.attempt) {
    return board;
  }
  return setFailovers(endInquiry(board, group), {
    fences: board.failovers.fences.set(group.id, {
      attempt: group.fence.attempt,
      seenAt: now,
    }),
  });
}

/** Confirms, as the write owner, that nothing more is acknowledged. */
function confirmFence(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const {fence} = group;
  if (fence === null || !mayChangePrimary(board, group, ctx.now)) {
    return unchanged(board);
  }
  return chain(
    board,
    current => stopAcknowledging(current, group),
    current =>
      updateGroup(
        current,
        {...group, fence: {...fence, confirmed: true}},
        'confirm',
        createAttemptId(current, ctx),
        ctx,
      ),
  );
}

/** Goes on with a change of primary once a fence stands. */
function reviewFence(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const {fence} = group;
  const seen = board.failovers.fences.get(group.id);
  if (fence === null || seen === undefined) {
    return unchanged(board);
  }
  if (isWriteOwner(board, group) && !fence.confirmed) {
    const isIdle = canUpdateGroup(board, group.id, ctx.now);
    const confirm = isIdle ? confirmFence(board, group, ctx) : unchanged(board);
    if (confirm.board !== board) {
      return confirm;
    }
  }
  const isMine = fence.by === board.self.host;
  const lapsedAt = seen.seenAt + EVIDENCE_LAPSE_MS;
  const ripeAt = fence.confirmed && isMine ? seen.seenAt : lapsedAt;
  const actAt = isMine ? ripeAt : seen.seenAt + FENCE_ABANDONED_MS;
  return ctx.now < actAt
    ? reviewInquiry(board, group, ctx.now)
    : chain(
        board,
        current => reviewInquiry(current, group, ctx.now),
        current => reviewPromotion(current, group, ctx),
      );
}

/** Reviews one group in which this host owns an endpoint. */
export function reviewFailover(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const noted = noteFence(board, group, ctx.now);
  if (group.fence !== null) {
    return reviewFence(noted, group, ctx);
  }
  return isPrimarySuspected(noted, group, ctx.now)
    ? reviewSuspicion(noted, group, ctx)
    : reviewCalm(endInquiry(noted, group), group, ctx);
}
