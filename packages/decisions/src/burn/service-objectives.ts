/**
 * Service-level objectives of workspaces: the share of requests, or of gaps between tokens, that must
 * be good. Defaults hold for all workspaces; each may replace some of them.
 */
import { z } from 'zod';

/** What is counted as good or bad. */
export enum Objective {
  /** The first token came in time. */
  FirstToken = 'first_token',
  /** The next token came in time. */
  TokenGap = 'token_gap',
  /** The request was not refused. */
  Refusals = 'refusals',
  /** An accepted request got its whole answer. */
  Completed = 'completed',
}

/** All objectives, in the order of reports. */
export const OBJECTIVES = Object.values(Objective);

const shareSchema = z.number().gt(0).lt(1);
const millisecondsSchema = z.number().positive();

/** Objectives for all workspaces; targets are least shares of good events. */
export const objectivesSchema = z.strictObject({
  first_token_ms: millisecondsSchema.default(1_400),
  first_token_target: shareSchema.default(0.95),
  token_gap_ms: millisecondsSchema.default(58),
  token_gap_target: shareSchema.default(0.95),
  refusals_target: shareSchema.default(0.99),
  completed_target: shareSchema.default(0.999),
});

/** Objectives that one workspace replaces. */
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

/** Objectives that a workspace replaces. */
export type ObjectiveOverrides = z.output<typeof objectiveOverridesSchema>;

/** What holds where the fleet configuration says nothing. */
export const DEFAULT_OBJECTIVES: ServiceObjectives = objectivesSchema.parse({});

/** The objectives of a workspace: the fleet's, where it replaces none. */
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

/** Least share of good events of one objective. */
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
