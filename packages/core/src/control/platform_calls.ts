/** What the time line says of calls of the platform. */

import type {Action} from '../engine/action.js';

/** Counts a call of the platform; the metrics hold it against the rates. */
export function describePlatformCall(call: 'read' | 'update'): Action {
  const fields = {call};
  return {type: 'record', level: 'debug', event: 'platform_called', fields};
}
