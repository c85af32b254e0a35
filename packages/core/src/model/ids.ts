/** Identifier types. */

/** An entry host, for instance `lima-a-1`. */
export type HostId = string;
/** A data centre, for instance `lima-a`. */
export type DataCentreId = string;
/** A database endpoint, for instance `commissions-1`. */
export type EndpointId = string;
/** A replicated database group. */
export type GroupId = string;
/** A service; callers name it as the database they connect to. */
export type ServiceId = string;
/** A kind of work; it names a row of a service's table. */
export type KindId = string;
/** A connection of a caller, unique within its entry host. */
export type CallerId = number;
/** A session, unique over all hosts. */
export type SessionId = string;
/** A request, unique over all hosts and restarts. */
export type RequestId = string;
/** A transaction: the id of the request that opened it. */
export type TxId = RequestId;
/** A connection to an endpoint, unique within its pool owner. */
export type ConnId = number;
/** An instant of this process's monotonic clock, in milliseconds. */
export type Instant = number;
