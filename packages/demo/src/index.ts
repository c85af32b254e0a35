/** The demo: a site of simulated dependencies and entry hosts under load. */

export {runDemo} from './demo.js';
export type {PrintLine} from './demo.js';
export {sumSamples} from './hosts.js';
export {classifyOutcome, createTally} from './tally.js';
export type {DemoKind, DemoOutcome, KindTally, Tally} from './tally.js';
