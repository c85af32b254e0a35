/** The demo: a site of stand-ins and entry hosts under load. */

export {runDemo} from './demo.js';
export type {Say} from './demo.js';
export {sumSamples} from './hosts.js';
export {createTally, readOutcome} from './tally.js';
export type {DemoKind, DemoOutcome, KindTally, Tally} from './tally.js';
