/** Re-exports ts-results, whose named exports Node.js cannot import. */

import tsResults from 'ts-results';

export const {Err, Ok} = tsResults;
export type {Result} from 'ts-results';
