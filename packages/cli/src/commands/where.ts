/** `poplarpick where`: explains where routers would send a request now and why, without sending it. */
import { Command, Flags } from '@oclif/core';
import { LARGE_ANSWER_BYTES, readBoundedJson } from '@poplarpick/fleet/bounded-body';
import { describeError } from '@poplarpick/kernel';
import type { RouteExplanation, RouteQuestion } from '@poplarpick/forwarder';
import { request } from 'undici';
import { ExitCode } from '../exit-code.ts';
import { formatExplanation } from '../explain/route-table.ts';

const REQUEST_TIMEOUT_MS = 3_000;

/** What one router answered, or why it didn't. */
export interface RouterAnswer {
  router: string;
  explanation?: RouteExplanation;
  error?: string;
}

export class Where extends Command {
  static override description =
    'Explain where a request would go now and why, without sending it. Exits with 4 if a router would refuse it.';
  static override enableJsonFlag = true;
  static override examples = [
    "<%= config.bin %> where --router 10.1.0.33:7400 --host h.example --path /quotes/1 --workspace acme --header 'Name: value'",
  ];
  static override flags = {
    router: Flags.string({
      required: true,
      multiple: true,
      description: 'address at which a router listens for its peers (repeat for several)',
    }),
    all: Flags.boolean({ description: 'also ask every router that the first one knows' }),
    host: Flags.string({ required: true, description: 'host of the request' }),
    path: Flags.string({ required: true, description: 'path and query of the request' }),
    method: Flags.string({ default: 'POST', description: 'method of the request' }),
    workspace: Flags.string({ description: 'name of the workspace that sends it' }),
    header: Flags.string({
      multiple: true,
      default: [],
      description: "header of the request as 'Name: value', such as those that describe its prompt",
    }),
    'body-bytes': Flags.integer({ min: 0, default: 0, description: 'size of its body' }),
  };

  override async run(): Promise<RouterAnswer[]> {
    const { flags } = await this.parse(Where);
    const question: RouteQuestion = {
      method: flags.method,
      host: flags.host,
      target: flags.path,
      ...(flags.workspace === undefined ? {} : { workspace: flags.workspace }),
      headers: flags.header.flatMap(splitHeader),
      bodyBytes: flags['body-bytes'],
    };
    const answers = await Promise.all(flags.router.map((router) => ask(router, question)));
    if (flags.all) {
      const known = answers[0]?.explanation?.routers ?? [];
      const others = known.filter((router) => !flags.router.includes(router));
      answers.push(...(await Promise.all(others.map((router) => ask(router, question)))));
    }
    for (const answer of answers) this.log(formatExplanation(answer));
    process.exitCode = exitCodeOf(answers);
    return answers;
  }
}

/** Splits `Name: value` into its two parts; a header without a colon has an empty value. */
function splitHeader(text: string): string[] {
  const colon = text.indexOf(':');
  if (colon < 0) return [text.trim(), ''];
  return [text.slice(0, colon).trim(), text.slice(colon + 1).trim()];
}

async function ask(router: string, question: RouteQuestion): Promise<RouterAnswer> {
  try {
    const { statusCode, body } = await request(`http://${router}/where`, {
      method: 'POST',
      headers: { 'Content-Type': 'application/json' },
      body: JSON.stringify(question),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const content = await readBoundedJson(body, LARGE_ANSWER_BYTES);
    const answer = content as RouteExplanation & { error?: string };
    if (statusCode === 200) return { router, explanation: answer };
    return { router, error: answer.error ?? `status ${statusCode}` };
  } catch (error) {
    return { router, error: `not reached: ${describeError(error).split('\n')[0] ?? ''}` };
  }
}

function exitCodeOf(answers: readonly RouterAnswer[]): ExitCode {
  if (answers.some(({ error }) => error?.startsWith('not reached') === true))
    return ExitCode.Unreachable;
  if (answers.some(({ error }) => error !== undefined)) return ExitCode.Failure;
  const isRefused = answers.some(({ explanation }) => explanation?.refusal !== undefined);
  return isRefused ? ExitCode.Refused : ExitCode.Success;
}
