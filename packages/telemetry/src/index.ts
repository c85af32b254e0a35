/** Events, logs, metrics and the timeline across all hosts. */

export {createHlc, MAX_STAMP_LEAD_MS} from './hlc.js';
export type {Hlc} from './hlc.js';
export {explainRequest} from './explain.js';
export type {Explanation} from './explain.js';
export {formatEventLine, parseEventLine} from './event_line.js';
export type {EventLevel, TimelineEvent} from './event_line.js';
export type {GaugeDefinition, GaugeSample} from './gauges.js';
export type {Metrics} from './metrics.js';
export {createRecorder, DEFAULT_RING_CAPACITY} from './recorder.js';
export type {LogSettings, Recorder, RecorderConfig} from './recorder.js';
export {createStdoutDestination} from './stdout_destination.js';
export type {LogDestination} from './stdout_destination.js';
export {mergeTimeline} from './timeline.js';
export type {TimelineFilter} from './timeline.js';
