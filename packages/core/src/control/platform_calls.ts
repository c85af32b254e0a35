/** Log records of platform calls. */

import type {Action} from '../engine/action.js';

/**
 * Returns the log record of a platform call. Metrics count these records, for
 * comparison with the platform's call rates.
 */
export function describePlatformCall(call: 'read' | 'update'): Action {
  const fields = {call};
  return {type: 'record', level: 'debug', event: 'platform_called', fields};
}
