/** Entry hosts as the platform lists them. */

import type {DataCentreId, HostId} from './ids.js';

/** A host in the platform's list, which may lag behind the actual state. */
export interface HostObject {
  readonly id: HostId;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
  /** Address of each listener of the host, as `IP:PORT`. */
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
}
