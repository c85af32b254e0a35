/** Choice of the endpoint to promote. */

import {FRESH_REPORT_MS, MAX_TERM_STARTS} from './constants.js';
import type {FinalReportRequest, Inquiry} from './state.js';
import {findEndpoint} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {EndpointId, Instant} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';

/** An endpoint that can be promoted to primary. */
export interface Candidate {
  readonly endpoint: EndpointId;
  /** Last log index that it shares with the group's history. */
  readonly index: number;
}

/**
 * Returns the last log index that an endpoint shares with the group's history,
 * or null when its term is newer than the group's. Entries of an older term
 * beyond the start of a later term are not part of the history.
 */
function computeSurvivingIndex(
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
 * Returns the reports taken after the last acknowledgement of a term: the
 * answers to the final report request, and this host's own later probe.
 */
export function listFinalReports(
  inquiry: Inquiry,
  final: FinalReportRequest,
  own: EndpointReport | null,
  now: Instant,
): readonly EndpointReport[] {
  const receivedReports = [...inquiry.answers.values()]
    .filter(({reportAsk}) => reportAsk !== null && reportAsk >= final.ask)
    .filter(({reportAt}) => now - reportAt <= FRESH_REPORT_MS)
    .map(({report}) => report);
  const isOwnFresh = own !== null && now - own.ageMs >= final.at;
  return [...receivedReports, isOwnFresh ? own : null].filter(
    report => report !== null,
  );
}

/** Returns the most advanced endpoint other than the primary, or null. */
export function chooseCandidate(
  group: GroupObject,
  reports: readonly EndpointReport[],
): Candidate | null {
  let best: Candidate | null = null;
  for (const report of reports) {
    const index = computeSurvivingIndex(group, report);
    const endpoint = findEndpoint(group, report.endpoint);
    if (endpoint === null || endpoint.leaving || index === null) {
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

/** Returns the group object of the next term, with the candidate as primary. */
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
