/** `table apply` and `table create`: bring a table file into force. */

import {diffTables} from '@lacewingroad/core';
import type {StoredTable} from '@lacewingroad/core';
import type {ArgsDef} from 'citty';
import type {CliError} from '../cli_error.js';
import {needPlatform, OPERATOR_ARGS, reportOk} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import type {PlatformPort} from '../ports.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';
import {readStanding, settleEdit} from '../write_edit.js';
import {
  carryOutEdit,
  checkNote,
  confirmEdit,
  DEFAULT_DEADLINE_SECONDS,
  deriveEditId,
  loadTableFile,
  readDeadline,
} from './edit_table.js';
import type {WantedEdit} from './edit_table.js';

const AUTHOR_ARGS = {
  by: {
    type: 'string',
    description: 'your name (default: the login name)',
    valueHint: 'NAME',
  },
  deadline: {
    type: 'string',
    description: 'seconds to wait until it is in force everywhere',
    valueHint: 'SECONDS',
    default: DEFAULT_DEADLINE_SECONDS,
  },
} as const satisfies ArgsDef;

const NOTE_ARG = {
  type: 'string',
  description: 'why, for those who were not there',
  valueHint: 'TEXT',
} as const;

const APPLY_ARGS = {
  file: {type: 'positional', description: 'file of table get', required: true},
  note: NOTE_ARG,
  ...AUTHOR_ARGS,
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table apply FILE --note TEXT`. */
export const APPLY_SPEC: CommandSpec<typeof APPLY_ARGS> = {
  name: 'apply',
  description: 'apply an edited table file and read back until it is in force',
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
  const platform = needPlatform(sources);
  if (platform.err) {
    return platform;
  }
  const deadline = readDeadline(cli, args.deadline);
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
      message: `${args.file} lacks the first line with service, group and version. Run \`table get\` again and copy your rows below its header.`,
    });
  }
  const edit: WantedEdit = {
    service: base.service,
    baseVersion: base.version,
    content: {group: base.group, rows},
    by: args.by ?? cli.userName,
    note: note.val,
  };
  const standing = await readStanding(platform.val, edit.service);
  if (standing.err) {
    return standing;
  }
  return applyOnStanding(input, platform.val, standing.val, edit, deadline.val);
}

async function applyOnStanding(
  input: CommandInput<typeof APPLY_ARGS>,
  platform: PlatformPort,
  standing: StoredTable,
  edit: WantedEdit,
  deadline: number,
): Promise<Result<Report, CliError>> {
  const {cli, sources} = input;
  const settled = settleEdit(deriveEditId(edit), edit.baseVersion, standing);
  if (settled?.err) {
    return settled;
  }
  if (settled?.ok) {
    const known = ['This edit was applied before.'];
    return Ok(
      await confirmEdit(cli, sources, edit, settled.val, known, deadline),
    );
  }
  if (
    edit.baseVersion > 0 &&
    diffTables(standing.table, edit.content).length === 0
  ) {
    const line = `The file holds no change against version ${standing.version} of ${edit.service}; nothing was written.`;
    return Ok(
      reportOk([line], {
        service: edit.service,
        version: standing.version,
        changes: [],
      }),
    );
  }
  return carryOutEdit(cli, platform, sources, standing, edit, deadline);
}

const CREATE_ARGS = {
  service: {type: 'positional', description: 'the service', required: true},
  group: {
    type: 'string',
    description: 'database group that serves it',
    valueHint: 'G',
    required: true,
  },
  from: {
    type: 'string',
    description: 'table file; its first line may be absent',
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
  const platform = needPlatform(sources);
  if (platform.err) {
    return platform;
  }
  const deadline = readDeadline(cli, args.deadline);
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
  const edit: WantedEdit = {
    service: args.service,
    baseVersion: 0,
    content: {group: args.group, rows: file.val.rows},
    by: args.by ?? cli.userName,
    note: args.note,
  };
  const nothing: StoredTable = {version: 0, table: null};
  return carryOutEdit(cli, platform.val, sources, nothing, edit, deadline.val);
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
    message: `The platform has no group ${group}; it has: ${ids.join(', ')}. Nothing was created.`,
  };
}
