/** Callers that keep every slot of a site wanted: each sends its next request when the last has ended. */
import { callApplication, callChat, CallOutcome, buildChatBody, Random } from '@poplarpick/load';
import { expectedAnswer } from '@poplarpick/stand-ins';
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';

const SHORTEST_TOKENS = 20;
const LONGEST_TOKENS = 400;

/** Callers for each slot of the site. */
const CALLERS_PER_SLOT = 2;

/** Pause after a refusal. */
const RETRY_MS = 50;

/** Answers of a run. */
export interface LoadCounts {
  whole: number;
  /** Answers that were broken off or differ from what the engine generates. */
  wrong: number;
  refused: number;
}

/** Runs callers until it is stopped. */
export class BacklogLoad {
  readonly counts: LoadCounts = { whole: 0, wrong: 0, refused: 0 };
  private readonly fleet: ProcessFleet;
  private readonly random: Random;
  private readonly callers: Promise<void>[] = [];
  private stopped = false;

  constructor(fleet: ProcessFleet, seed: number) {
    this.fleet = fleet;
    this.random = new Random(seed);
  }

  start(): void {
    const { endpoints } = this.fleet.site.plan;
    for (const { kind, slots } of endpoints) {
      for (let index = 0; index < slots * CALLERS_PER_SLOT; index += 1) {
        this.callers.push(this.run(this.callers.length, kind === 'model'));
      }
    }
  }

  /** Sends no more requests and waits for the answers to those sent. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.callers);
  }

  private async run(caller: number, chats: boolean): Promise<void> {
    for (let turn = 0; !this.stopped; turn += 1) {
      const outcome = chats ? await this.chat(caller, turn) : await this.apply(caller, turn);
      if (outcome === CallOutcome.Complete) this.counts.whole += 1;
      else if (outcome === CallOutcome.Interrupted) this.counts.wrong += 1;
      else {
        this.counts.refused += 1;
        await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
      }
    }
  }

  private async chat(caller: number, turn: number): Promise<CallOutcome> {
    const tokens = SHORTEST_TOKENS + this.random.integer(LONGEST_TOKENS - SHORTEST_TOKENS);
    const { model } = this.fleet.site.plan;
    const call = {
      ...this.target(caller),
      model,
      prompt: `caller ${caller} turn ${turn}`,
      outputTokens: tokens,
    };
    const { outcome, text } = await callChat(call);
    if (outcome !== CallOutcome.Complete) return outcome;
    return text === expectedAnswer(buildChatBody(call)) ? outcome : CallOutcome.Interrupted;
  }

  private async apply(caller: number, turn: number): Promise<CallOutcome> {
    const { service, nonIdempotentPath } = this.fleet.site.plan;
    const body = { key: `caller ${caller} turn ${turn}` };
    const { outcome } = await callApplication({
      ...this.target(caller),
      service,
      path: nonIdempotentPath,
      body,
    });
    return outcome;
  }

  private target(caller: number): { url: string; key: string } {
    const { workspaces } = this.fleet.site.plan;
    const urls = this.fleet.routerUrls;
    const workspace = workspaces[caller % workspaces.length];
    return { url: urls[caller % urls.length] ?? '', key: workspace?.key ?? '' };
  }
}
