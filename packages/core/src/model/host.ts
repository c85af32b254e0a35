/** Entry hosts as the platform lists them. */

import type {DataCentreId, HostId} from './ids.js';

/** What the platform says of a host; the list lags behind the truth. */
export interface HostObject {
  readonly id: HostId;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
  /** Address of each listener of the host, as `IP:PORT`. */
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
}
