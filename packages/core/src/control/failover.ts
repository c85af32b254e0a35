/**
 * Unplanned failover. The write owner of a failed primary promotes the next one
 * at once, since no other host acknowledges writes. When the write owner has
 * failed too, a promoter sets a fence in the group object, waits until all
 * evidence of the term has expired, and then promotes.
 */

import {
  EVIDENCE_LAPSE_MS,
  FENCE_ABANDONED_MS,
  FRESH_REPORT_MS,
  INQUIRY_TIMEOUT_MS,
  ISOLATED_OWNER_WAIT_MS,
  PROMOTER_STAGGER_MS,
  SUSPECT_AFTER_MS,
  SUSPECT_REFUSALS,
  WRITE_OWNER_HEAD_START_MS,
} from './constants.js';
import {
  isWriteOwner,
  readEndpointView,
  readPromoters,
} from './control_status.js';
import {endInquiry, readDataCentre, reviewInquiry} from './inquiry.js';
import {mayChangePrimary} from './confirmation.js';
import {reviewPromotion} from './promotion.js';
import {stopAcknowledging} from './stop_acknowledging.js';
import {reviewHealthyGroup} from './resume_acknowledging.js';
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

/** Returns whether this host's probes indicate that a primary is down. */
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

/** An answer of a host that is recent enough to count. */
interface RecentAnswer {
  readonly host: HostId;
  readonly answer: InquiryAnswer;
}

function listRecentAnswers(
  inquiry: Inquiry,
  now: Instant,
): readonly RecentAnswer[] {
  return [...inquiry.answers.entries()]
    .filter(([, answer]) => now - answer.receivedAt <= FRESH_REPORT_MS)
    .map(([host, answer]) => ({host, answer}));
}

/** Returns whether an inquiry has all answers or has timed out. */
function isInquiryDecidable(inquiry: Inquiry, now: Instant): boolean {
  const isComplete = inquiry.asked.every(host => {
    const answer = inquiry.answers.get(host);
    return answer !== undefined && answer.receivedAt >= inquiry.startedAt;
  });
  return isComplete || now - inquiry.startedAt >= INQUIRY_TIMEOUT_MS;
}

/**
 * Returns whether a host of another data centre cannot reach the primary either.
 */
function hasSecondObserver(
  board: Blackboard,
  recentAnswers: readonly RecentAnswer[],
): boolean {
  return recentAnswers.some(
    ({host, answer}) =>
      !answer.reachesPrimary &&
      readDataCentre(board, host) !== board.self.dataCentre,
  );
}

/** Returns whether all listed hosts are in this host's data centre. */
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
  const recentAnswers = listRecentAnswers(inquiry, ctx.now);
  const isReachedByOthers = recentAnswers.some(
    recent => recent.answer.reachesPrimary,
  );
  const hasWaitedInIsolation =
    ctx.now - inquiry.suspectedAt >= ISOLATED_OWNER_WAIT_MS;
  const isConfirmedDown =
    !isReachedByOthers &&
    (hasSecondObserver(board, recentAnswers) || isOnlyDataCentre(board));
  if (!isConfirmedDown && !(hasWaitedInIsolation && recentAnswers.length > 0)) {
    return unchanged(board);
  }
  return chain(
    board,
    current => stopAcknowledging(current, group),
    current => reviewPromotion(current, group, ctx),
  );
}

/**
 * Returns whether this host may raise a fence: it is the registered owner of a
 * replica, its promises have expired, and so have those from before a restart.
 * A write owner requests promises from the registered owners of replicas only,
 * so no other host may raise one: neither an owner that is not registered yet,
 * nor a host that took over the primary within the term.
 */
function mayRaiseFence(
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
  const promisedUntil =
    board.failovers.givenPromises.get(group.id)?.until ?? -Infinity;
  const restartedUntil = board.self.startedAt + EVIDENCE_LAPSE_MS;
  return now >= promisedUntil && now >= restartedUntil;
}

function raiseFence(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  if (
    !mayRaiseFence(board, group, ctx.now) ||
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

/** Returns this promoter's delay behind those that act before it, in ms. */
function computePromoterDelay(board: Blackboard, group: GroupObject): number {
  const writer = findWriteOwner(group);
  const promoters = readPromoters(group, writer ?? '');
  const position = promoters.indexOf(board.self.host);
  return Math.max(0, position) * PROMOTER_STAGGER_MS;
}

/** Decides as a promoter. */
function actAsPromoter(
  board: Blackboard,
  group: GroupObject,
  inquiry: Inquiry,
  ctx: Context,
): Change {
  const recentAnswers = listRecentAnswers(inquiry, ctx.now);
  if (recentAnswers.some(recent => recent.answer.reachesPrimary)) {
    return unchanged(board);
  }
  const writer = findWriteOwner(group);
  const isWriterReachable = recentAnswers.some(
    recent => recent.host === writer,
  );
  const headStartMs = isWriterReachable ? WRITE_OWNER_HEAD_START_MS : 0;
  const actAt =
    inquiry.suspectedAt + headStartMs + computePromoterDelay(board, group);
  if (ctx.now < actAt || !hasSecondObserver(board, recentAnswers)) {
    return unchanged(board);
  }
  return raiseFence(board, group, ctx);
}

function reviewSuspicion(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const inquired = reviewInquiry(board, group, ctx.now);
  const inquiry = inquired.board.failovers.inquiries.get(group.id);
  if (inquiry === undefined || !isInquiryDecidable(inquiry, ctx.now)) {
    return inquired;
  }
  const act = mayChangePrimary(inquired.board, group, ctx.now)
    ? actAsWriteOwner
    : actAsPromoter;
  const change = act(inquired.board, group, inquiry, ctx);
  return {
    board: change.board,
    actions: [...inquired.actions, ...change.actions],
  };
}

/** Records when a fence was first seen: evidence expires relative to that. */
function trackFence(
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

/** Confirms, as the write owner, that it acknowledges no more writes. */
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

/** Continues a change of primary after a fence was raised. */
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
  const isOwnFence = fence.by === board.self.host;
  const lapsedAt = seen.seenAt + EVIDENCE_LAPSE_MS;
  const ownFenceActAt = fence.confirmed && isOwnFence ? seen.seenAt : lapsedAt;
  const actAt = isOwnFence ? ownFenceActAt : seen.seenAt + FENCE_ABANDONED_MS;
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
  const next = trackFence(board, group, ctx.now);
  if (group.fence !== null) {
    return reviewFence(next, group, ctx);
  }
  return isPrimarySuspected(next, group, ctx.now)
    ? reviewSuspicion(next, group, ctx)
    : reviewHealthyGroup(endInquiry(next, group), group, ctx);
}
