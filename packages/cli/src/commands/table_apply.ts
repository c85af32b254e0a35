/** `table apply` and `table create`: write a table file to the platform. */

import {diffTables} from '@lacewingroad/core';
import type {StoredTable} from '@lacewingroad/core';
import type {ArgsDef} from 'citty';
import type {CliError} from '../cli_error.js';
import {requirePlatform, OPERATOR_ARGS, reportOk} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import type {PlatformPort} from '../ports.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';
import {readStoredTable, resolveEdit} from '../write_edit.js';
import {
  performEdit,
  checkNote,
  confirmEdit,
  DEFAULT_DEADLINE_SECONDS,
  deriveEditId,
  loadTableFile,
  parseDeadline,
} from './edit_table.js';
import type {RequestedEdit} from './edit_table.js';

const AUTHOR_ARGS = {
  by: {
    type: 'string',
    description: 'your name (default: the login name)',
    valueHint: 'NAME',
  },
  deadline: {
    type: 'string',
    description: 'seconds to wait until the edit is in force on all live hosts',
    valueHint: 'SECONDS',
    default: DEFAULT_DEADLINE_SECONDS,
  },
} as const satisfies ArgsDef;

const NOTE_ARG = {
  type: 'string',
  description: 'reason of the edit, for other operators',
  valueHint: 'TEXT',
} as const;

const APPLY_ARGS = {
  file: {
    type: 'positional',
    description: 'file from table get',
    required: true,
  },
  note: NOTE_ARG,
  ...AUTHOR_ARGS,
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table apply FILE --note TEXT`. */
export const APPLY_SPEC: CommandSpec<typeof APPLY_ARGS> = {
  name: 'apply',
  description: 'apply an edited table file and wait until it is in force',
  args: APPLY_ARGS,
  handler: applyTable,
};

async function applyTable(
  input: CommandInput<typeof APPLY_ARGS>,
): Promise<Result<Report, CliError>> {
  const {cli, args, sources} = input;
  const note = checkNote(args.note);
  if (note.err) {
    return note;
  }
  const platform = requirePlatform(sources);
  if (platform.err) {
    return platform;
  }
  const deadline = parseDeadline(cli, args.deadline);
  if (deadline.err) {
    return deadline;
  }
  const file = await loadTableFile(cli, args.file);
  if (file.err) {
    return file;
  }
  const {base, rows} = file.val;
  if (base === null) {
    return Err({
      kind: 'invalid_input',
      message: `The first line of ${args.file} does not give service, group and version. Run \`table get\` again and copy your rows below its header.`,
    });
  }
  const edit: RequestedEdit = {
    service: base.service,
    baseVersion: base.version,
    content: {group: base.group, rows},
    by: args.by ?? cli.userName,
    note: note.val,
  };
  const stored = await readStoredTable(platform.val, edit.service);
  if (stored.err) {
    return stored;
  }
  return applyToStoredTable(
    input,
    platform.val,
    stored.val,
    edit,
    deadline.val,
  );
}

async function applyToStoredTable(
  input: CommandInput<typeof APPLY_ARGS>,
  platform: PlatformPort,
  stored: StoredTable,
  edit: RequestedEdit,
  deadline: number,
): Promise<Result<Report, CliError>> {
  const {cli, sources} = input;
  const outcome = resolveEdit(deriveEditId(edit), edit.baseVersion, stored);
  if (outcome?.err) {
    return outcome;
  }
  if (outcome?.ok) {
    const messages = ['This edit was already applied.'];
    return Ok(
      await confirmEdit(cli, sources, edit, outcome.val, messages, deadline),
    );
  }
  if (
    edit.baseVersion > 0 &&
    diffTables(stored.table, edit.content).length === 0
  ) {
    const line = `The file has no changes from version ${stored.version} of ${edit.service}; nothing was written.`;
    return Ok(
      reportOk([line], {
        service: edit.service,
        version: stored.version,
        changes: [],
      }),
    );
  }
  return performEdit(cli, platform, sources, stored, edit, deadline);
}

const CREATE_ARGS = {
  service: {type: 'positional', description: 'the service', required: true},
  group: {
    type: 'string',
    description: 'database group of the service',
    valueHint: 'G',
    required: true,
  },
  from: {
    type: 'string',
    description: 'table file; its comment line may be absent',
    valueHint: 'FILE',
    required: true,
  },
  note: {...NOTE_ARG, default: 'created'},
  ...AUTHOR_ARGS,
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table create SERVICE --group G --from FILE`. */
export const CREATE_SPEC: CommandSpec<typeof CREATE_ARGS> = {
  name: 'create',
  description: 'create the table of a new service',
  args: CREATE_ARGS,
  handler: createTable,
};

async function createTable(
  input: CommandInput<typeof CREATE_ARGS>,
): Promise<Result<Report, CliError>> {
  const {cli, args, sources} = input;
  const platform = requirePlatform(sources);
  if (platform.err) {
    return platform;
  }
  const deadline = parseDeadline(cli, args.deadline);
  if (deadline.err) {
    return deadline;
  }
  const file = await loadTableFile(cli, args.from);
  if (file.err) {
    return file;
  }
  const groupFault = await checkGroup(platform.val, args.group);
  if (groupFault !== null) {
    return Err(groupFault);
  }
  const edit: RequestedEdit = {
    service: args.service,
    baseVersion: 0,
    content: {group: args.group, rows: file.val.rows},
    by: args.by ?? cli.userName,
    note: args.note,
  };
  const noTable: StoredTable = {version: 0, table: null};
  return performEdit(cli, platform.val, sources, noTable, edit, deadline.val);
}

async function checkGroup(
  platform: PlatformPort,
  group: string,
): Promise<CliError | null> {
  const listed = await platform.listObjects('groups/');
  if (listed.err) {
    return listed.val;
  }
  const ids = listed.val.map(object => object.key.slice('groups/'.length));
  if (ids.includes(group)) {
    return null;
  }
  return {
    kind: 'refused',
    message: `The platform has no group ${group}; its groups are: ${ids.join(', ')}. Nothing was created.`,
  };
}
