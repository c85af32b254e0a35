/** Last steps of an unplanned failover: final reports and the new term. */

import {
  chooseCandidate,
  createNextTerm,
  listFinalReports,
} from './candidate.js';
import {FINAL_REPORTS_TIMEOUT_MS} from './constants.js';
import {requestFinalReports, readOwnReport} from './inquiry.js';
import type {FinalReportRequest, Inquiry} from './state.js';
import {canUpdateGroup, createAttemptId, updateGroup} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {Instant} from '../model/ids.js';

/** Returns whether all hosts have sent final reports or the wait is over. */
function hasFinalReports(
  inquiry: Inquiry,
  final: FinalReportRequest,
  now: Instant,
): boolean {
  const isComplete = inquiry.asked.every(host => {
    const reportAsk = inquiry.answers.get(host)?.reportAsk ?? null;
    return reportAsk !== null && reportAsk >= final.ask;
  });
  return isComplete || now - final.at >= FINAL_REPORTS_TIMEOUT_MS;
}

/**
 * Continues a change of primary once no host acknowledges writes in the term:
 * requests the final reports, then promotes the most advanced endpoint.
 */
export function reviewPromotion(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const inquiry = board.failovers.inquiries.get(group.id);
  if (inquiry === undefined) {
    return unchanged(board);
  }
  if (inquiry.final === null) {
    return requestFinalReports(board, group, ctx.now);
  }
  return hasFinalReports(inquiry, inquiry.final, ctx.now)
    ? promote(board, group, inquiry, inquiry.final, ctx)
    : unchanged(board);
}

/** Starts the update that names the next primary. */
function promote(
  board: Blackboard,
  group: GroupObject,
  inquiry: Inquiry,
  final: FinalReportRequest,
  ctx: Context,
): Change {
  const own = readOwnReport(board, group, ctx.now);
  const reports = listFinalReports(inquiry, final, own, ctx.now);
  const candidate = chooseCandidate(group, reports);
  if (candidate === null || !canUpdateGroup(board, group.id, ctx.now)) {
    return unchanged(board);
  }
  const change = updateGroup(
    board,
    createNextTerm(group, candidate),
    'promote',
    createAttemptId(board, ctx),
    ctx,
  );
  return {
    board: change.board,
    actions: [
      {
        type: 'record',
        level: 'warn',
        event: 'promotion_started',
        fields: {
          group: group.id,
          term: group.term + 1,
          primary: candidate.endpoint,
          start_index: candidate.index,
        },
      },
      ...change.actions,
    ],
  };
}
