/** Times of the control plane, in milliseconds. */

/** Time between two questions of a host to its relays, asked in turns. */
export const SYNC_INTERVAL_MS = 500;

/** Time between two questions out of turn. */
export const SYNC_MIN_INTERVAL_MS = 50;

/** Time without a question to the relays that shows that the process paused. */
export const PAUSE_MS = 2_000;

/** Longest wait for a view that is younger than a pause. */
export const RESUME_WAIT_MS = 3_000;

/** Relays that a host asks. */
export const RELAY_COUNT = 2;

/** Time between two platform reads of a relay. */
export const PLATFORM_READ_INTERVAL_MS = 500;

/** Time after which a platform call is given up. */
export const PLATFORM_TIMEOUT_MS = 3_000;

/**
 * Age of a view, in milliseconds, from which the platform counts as having been
 * away: four reads of a relay that failed.
 */
export const PLATFORM_AWAY_MS = 4 * PLATFORM_READ_INTERVAL_MS;

/**
 * Time that hosts have to enter the platform's list again after its return: the
 * two seconds that the platform states, and one read to learn of it.
 */
export const HOST_RETURN_MS = 2_000 + PLATFORM_READ_INTERVAL_MS;

/** A relay stops reading once nobody has asked it for this long. */
export const RELAY_IDLE_MS = 5_000;

/** Silence of a host that its relay reports: two questions that did not come. */
export const HOST_SILENT_MS = 2_300;

/** Time for which an unreachable host is not chosen, unless seen again. */
export const UNREACHABLE_MS = 1_500;

/** Resolution at which the last sign of life of a host is kept. */
export const LAST_HEARD_RESOLUTION_MS = 100;

/** Time for which evidence allows acknowledgements of writes. */
export const EVIDENCE_MS = 3_000;

/** Allowance for clocks that run at different speeds, over EVIDENCE_MS. */
const DRIFT_MARGIN_MS = 300;

/** Time after which all evidence from before an instant has expired. */
export const EVIDENCE_LAPSE_MS = EVIDENCE_MS + DRIFT_MARGIN_MS;

/** A view older than this is backed by promises of the promoters. */
export const STALE_VIEW_MS = 1_250;

/** Time between two rounds of promises. */
export const PROMISE_INTERVAL_MS = 600;

/** Time between two recomputations of who owns what. */
export const OWNERSHIP_INTERVAL_MS = 250;

/** A different owner must be the better choice for this long before a move. */
export const REBALANCE_AFTER_MS = 10_000;

/** Time between two attempts to register an owner. */
export const REGISTER_INTERVAL_MS = 500;

/** Time before an update whose answer was lost is sent again. */
export const UPDATE_RETRY_MS = 500;

/**
 * Time between two probes of an own primary, and of an own replica that does
 * not follow it closely.
 */
export const PROBE_INTERVAL_MS = 250;

/** Time between two probes of a primary by the owners of its replicas. */
export const PRIMARY_PROBE_INTERVAL_MS = 500;

/**
 * Time between two probes of an own replica that follows. Reads that need to
 * know more of it ask for a probe out of turn.
 */
export const REPLICA_PROBE_INTERVAL_MS = 1_000;

/** A replica whose data are older than this is probed more often. */
export const LAGGING_REPLICA_MS = 500;

/** Time after which a probe counts as failed. */
export const PROBE_TIMEOUT_MS = 700;

/** Time without a successful probe after which a primary is suspected. */
export const SUSPECT_AFTER_MS = 1_000;

/** Refused connections in a row that make a primary suspected at once. */
export const SUSPECT_REFUSALS = 2;

/** Time between two rounds of questions about a suspected primary. */
export const INQUIRY_INTERVAL_MS = 400;

/** Time after which an inquiry is decided with the answers it has. */
export const INQUIRY_TIMEOUT_MS = 350;

/** Time for which a change of primary waits for the reports of all owners. */
export const FINAL_REPORTS_MS = 900;

/** Time for which a question about a primary waits for probes. */
export const QUESTION_VALID_MS = 2_000;

/** A status no older than this answers an inquiry without a new probe. */
export const FRESH_STATUS_MS = 800;

/** Time for which the write owner may act before a promoter does. */
export const WRITE_OWNER_FIRST_MS = 1_500;

/** A write owner alone in not reaching its primary waits this long. */
export const ISOLATED_OWNER_MS = 4_000;

/** Time between two reviews of the groups that this host takes part in. */
export const FAILOVER_REVIEW_MS = 50;

/** Additional wait of each promoter after the one before it. */
export const PROMOTER_STAGGER_MS = 300;

/** A report older than this does not count when a primary is chosen. */
export const FRESH_REPORT_MS = 1_500;

/** Starts of terms that a group object keeps. */
export const MAX_TERM_STARTS = 64;

/** A fence whose author does not go on is taken over after this long. */
export const FENCE_ABANDONED_MS = EVIDENCE_LAPSE_MS + 2_000;

/** Time given to writes in progress when a planned change begins. */
export const PLANNED_DRAIN_MS = 1_000;

/** Time after which a planned change is given up. */
export const PLANNED_TIMEOUT_MS = 5_000;

/** Time for an endpoint to show the effect of a command before the next. */
export const COMMAND_SETTLE_MS = 1_000;

/** Time before a command that was refused or lost is sent again. */
export const COMMAND_RETRY_MS = 200;

/** Time after which an administrative command to an endpoint is given up. */
export const COMMAND_TIMEOUT_MS = 2_000;
