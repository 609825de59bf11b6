import { ERROR_RESPONSES, type ErrorCode, type HaretrackError } from '../common/errors.js';
import { versionText, type Version } from '../common/version.js';
import { ConfigError, TableError } from './config-edits.js';

/** The sender of a command, to which its answer is returned; `from` is empty for this node's own API. */
export interface Origin {
  readonly from: string;
  readonly id: number;
}

/** An answer to an operator's command: an HTTP status and a JSON body. */
export interface CommandAnswer {
  readonly status: number;
  readonly body: string;
}

/** The edit is stored at a majority of the voters, as configuration `number`. */
export function acceptedAnswer(id: string, number: number, version: Version): CommandAnswer {
  return {
    status: 200,
    body: JSON.stringify({ outcome: 'accepted', id, number, version: versionText(version) }),
  };
}

/** The edit was not accepted and can no longer be. */
export function closedAnswer(id: string): CommandAnswer {
  return { status: 200, body: JSON.stringify({ outcome: 'turned-away', id }) };
}

/** A rejection or an unknown outcome, depending on the error. */
export function errorAnswer(error: HaretrackError): CommandAnswer {
  const faults =
    error instanceof TableError || error instanceof ConfigError ? { faults: error.faults } : {};
  const outcome = error.response.isOutcomeUnknown ? 'unsure' : 'turned-away';
  return {
    status: error.response.status,
    body: JSON.stringify({ outcome, defect: error.code, text: error.message, ...faults }),
  };
}

/** The leader was lost, or its reply timed out: the outcome of an edit, which has an id, is unknown; a read failed. */
export function leaderLostAnswer(id: string): CommandAnswer {
  const kind: ErrorCode = id === '' ? 'no-leader' : 'unsure-edit';
  const outcome = id === '' ? 'turned-away' : 'unsure';
  const text =
    id === '' ? 'the leader was lost' : `the leader was lost; ask what became of edit ${id}`;
  return {
    status: ERROR_RESPONSES[kind].status,
    body: JSON.stringify({ outcome, defect: kind, id, text }),
  };
}
