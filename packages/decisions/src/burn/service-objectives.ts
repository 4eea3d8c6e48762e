/**
 * Service-level objectives of workspaces: the minimum share of requests, or of gaps between tokens,
 * that must be good. The fleet's objectives apply to all workspaces; a workspace may override some.
 */
import { z } from 'zod';

/** Objectives; each says what makes an event good. */
export enum Objective {
  /** The first token arrived within `first_token_ms`. */
  FirstToken = 'first_token',
  /** The next token arrived within `token_gap_ms`. */
  TokenGap = 'token_gap',
  /** The request was not refused. */
  Refusals = 'refusals',
  /** An accepted request received its complete answer. */
  Completed = 'completed',
}

/** All objectives, in the order of reports. */
export const OBJECTIVES = Object.values(Objective);

const shareSchema = z.number().gt(0).lt(1);
const millisecondsSchema = z.number().positive();

/** Schema of the fleet's objectives. A target is the minimum share of good events. */
export const objectivesSchema = z.strictObject({
  first_token_ms: millisecondsSchema.default(1_400),
  first_token_target: shareSchema.default(0.95),
  token_gap_ms: millisecondsSchema.default(58),
  token_gap_target: shareSchema.default(0.95),
  refusals_target: shareSchema.default(0.99),
  completed_target: shareSchema.default(0.999),
});

/** Schema of the overrides of one workspace. */
export const objectiveOverridesSchema = z.strictObject({
  first_token_ms: millisecondsSchema.optional(),
  first_token_target: shareSchema.optional(),
  token_gap_ms: millisecondsSchema.optional(),
  token_gap_target: shareSchema.optional(),
  refusals_target: shareSchema.optional(),
  completed_target: shareSchema.optional(),
});

/** Objectives of one workspace. */
export type ServiceObjectives = z.output<typeof objectivesSchema>;

/** Objectives that a workspace overrides. */
export type ObjectiveOverrides = z.output<typeof objectiveOverridesSchema>;

/** Objectives that apply if the fleet configuration specifies none. */
export const DEFAULT_OBJECTIVES: ServiceObjectives = objectivesSchema.parse({});

/** Applies the overrides of a workspace to the fleet's objectives. */
export function mergeObjectives(
  fleet: ServiceObjectives,
  overrides: ObjectiveOverrides = {},
): ServiceObjectives {
  return {
    first_token_ms: overrides.first_token_ms ?? fleet.first_token_ms,
    first_token_target: overrides.first_token_target ?? fleet.first_token_target,
    token_gap_ms: overrides.token_gap_ms ?? fleet.token_gap_ms,
    token_gap_target: overrides.token_gap_target ?? fleet.token_gap_target,
    refusals_target: overrides.refusals_target ?? fleet.refusals_target,
    completed_target: overrides.completed_target ?? fleet.completed_target,
  };
}

/** Target of one objective, which is the minimum share of good events. */
export function findTarget(objectives: ServiceObjectives, objective: Objective): number {
  switch (objective) {
    case Objective.FirstToken:
      return objectives.first_token_target;
    case Objective.TokenGap:
      return objectives.token_gap_target;
    case Objective.Refusals:
      return objectives.refusals_target;
    case Objective.Completed:
      return objectives.completed_target;
  }
}
