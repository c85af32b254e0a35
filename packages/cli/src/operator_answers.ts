/** Schemas of entry hosts' answers to operators; see docs/PROTOCOLS.md. */

import {z} from 'zod';

const hostSchema = z.object({
  id: z.string(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
  callerAddress: z.string(),
  operatorAddress: z.string(),
});

/** A host object of the platform. */
export const hostObjectSchema = hostSchema;

/** Answer of `GET /hosts`. */
export const hostsAnswerSchema = z.object({
  host: z.string(),
  hosts: z.array(hostSchema.extend({reachable: z.boolean()})),
});

/** Answer of `GET /table`. */
export const tableAnswerSchema = z.object({
  host: z.string(),
  dataCentre: z.string(),
  viewAgeMs: z.number().nullable(),
  tables: z.array(
    z.object({
      service: z.string(),
      version: z.number(),
      inForceForMs: z.number().nullable(),
      editId: z.string(),
    }),
  ),
});

/** Answer of `GET /groups`. */
export const groupsAnswerSchema = z.object({
  host: z.string(),
  groups: z.array(
    z.object({
      id: z.string(),
      version: z.number(),
      term: z.number(),
      primary: z.string(),
      fence: z
        .object({term: z.number(), by: z.string(), confirmed: z.boolean()})
        .nullable(),
      owners: z.record(z.string(), z.string()),
      endpoints: z.array(
        z.object({
          id: z.string(),
          dataCentre: z.string(),
          role: z.string().nullable(),
          term: z.number().nullable(),
          index: z.number().nullable(),
          dataAgeMs: z.number().nullable(),
          statusAgeMs: z.number().nullable(),
          owned: z.boolean(),
        }),
      ),
    }),
  ),
});

/** Answer of `GET /events`. */
export const eventsAnswerSchema = z.object({
  host: z.string(),
  events: z.array(
    z.object({
      seq: z.number(),
      stamp: z.string(),
      host: z.string(),
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      event: z.string(),
      fields: z.record(
        z.string(),
        z.union([z.string(), z.number(), z.boolean(), z.null()]),
      ),
    }),
  ),
});

/** Answer of `POST /failover`. */
export const failoverAnswerSchema = z.object({
  ok: z.boolean(),
  detail: z.string(),
});
export type TableAnswer = z.infer<typeof tableAnswerSchema>;
export type GroupsAnswer = z.infer<typeof groupsAnswerSchema>;
