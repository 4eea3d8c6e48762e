/**
 * What a caller hasn't taken of one response, charged to the memory that is held for callers. A caller that takes nothing
 * while others need the room loses its answer: its connection is broken off, so that the answer doesn't look whole.
 */
import type { ServerResponse } from 'node:http';
import { HoldingKind } from '@poplarpick/decisions';
import { breakOff } from '../break-off.ts';
import type { Holding, MemoryBudget } from './memory-budget.ts';

/** Options of an `UntakenAnswer`. */
export interface UntakenAnswerOptions {
  response: ServerResponse;
  budget: MemoryBudget;
  /** Who takes the answer: its workspace, or else the caller's address. */
  owner: string;
}

const answers = new WeakMap<ServerResponse, UntakenAnswer>();

/** What isn't taken of one response. */
export class UntakenAnswer {
  private readonly response: ServerResponse;
  private readonly holding: Holding;

  constructor({ response, budget, owner }: UntakenAnswerOptions) {
    this.response = response;
    this.holding = budget.open({
      kind: HoldingKind.UntakenAnswer,
      owner,
      onYield: () => breakOff(response),
    });
    answers.set(response, this);
    response.on('drain', () => this.record());
    response.once('close', () => this.holding.release());
  }

  /** What isn't taken of a response; undefined if that isn't charged. */
  static of(response: ServerResponse): UntakenAnswer | undefined {
    return answers.get(response);
  }

  /** Called after a write or an end; breaks the response off if there is no room for what is left. */
  record(): void {
    const bytes = this.response.writableLength;
    if (bytes === this.holding.bytes || this.response.destroyed) return;
    if (!this.holding.holdPromised(bytes)) breakOff(this.response);
  }
}
