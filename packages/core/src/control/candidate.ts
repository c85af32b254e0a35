/** The choice of the endpoint that becomes primary. */

import {FRESH_REPORT_MS, MAX_TERM_STARTS} from './constants.js';
import type {FinalQuestion, Inquiry} from './state.js';
import {findEndpoint} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {EndpointId, Instant} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';

/** An endpoint that could become primary. */
export interface Candidate {
  readonly endpoint: EndpointId;
  /** Index up to which its log belongs to the surviving history. */
  readonly index: number;
}

/**
 * Returns the index up to which an endpoint's log agrees with the group's
 * history: what an older term wrote beyond the following start is lost.
 */
function readSurvivingIndex(
  group: GroupObject,
  report: EndpointReport,
): number | null {
  const {term, index} = report.position;
  if (term > group.term) {
    return null;
  }
  const following = group.starts
    .filter(start => start.term > term)
    .map(start => start.index);
  return Math.min(index, ...following);
}

/**
 * Returns what endpoints had after the last acknowledgement of a term: the
 * answers to the final question, and this host's own probe since.
 */
export function listFinalReports(
  inquiry: Inquiry,
  final: FinalQuestion,
  own: EndpointReport | null,
  now: Instant,
): readonly EndpointReport[] {
  const received = [...inquiry.answers.values()]
    .filter(({reportAsk}) => reportAsk !== null && reportAsk >= final.ask)
    .filter(({reportAt}) => now - reportAt <= FRESH_REPORT_MS)
    .map(({report}) => report);
  const isOwnNew = own !== null && now - own.ageMs >= final.at;
  return [...received, isOwnNew ? own : null].filter(report => report !== null);
}

/** Returns the most advanced endpoint besides the primary, or null. */
export function chooseCandidate(
  group: GroupObject,
  reports: readonly EndpointReport[],
): Candidate | null {
  let best: Candidate | null = null;
  for (const report of reports) {
    const index = readSurvivingIndex(group, report);
    const placed = findEndpoint(group, report.endpoint);
    if (placed === null || placed.leaving || index === null) {
      continue;
    }
    if (report.endpoint === group.primary) {
      continue;
    }
    if (best === null || index > best.index) {
      best = {endpoint: report.endpoint, index};
    }
  }
  return best;
}

/** Returns the group object of the next term. */
export function createNextTerm(
  group: GroupObject,
  candidate: Candidate,
): GroupObject {
  const term = group.term + 1;
  const starts = [...group.starts, {term, index: candidate.index}];
  return {
    ...group,
    term,
    primary: candidate.endpoint,
    fence: null,
    starts: starts.slice(-MAX_TERM_STARTS),
  };
}
