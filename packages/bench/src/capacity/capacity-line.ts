/** Lines of the capacity page: the projected use of one resource by one role, as a sum of terms. */
import type { CapacityTerm } from './capacity-terms.ts';
import type { CapacityRole } from './slopes.ts';

/** Projected use of one resource by one role. */
export interface CapacityLine {
  role: CapacityRole;
  quantity: string;
  unit: string;
  value: number;
  error: number;
  limit: number | null;
  over: boolean;
  mechanism: string;
  /** Remedy if the line exceeds its limit, or what fails first. */
  remark: string;
  terms: CapacityTerm[];
}

/** The parts of a line from which the others are computed. */
export type LineDraft = Pick<
  CapacityLine,
  'role' | 'quantity' | 'unit' | 'mechanism' | 'remark' | 'terms'
> & { limit?: number };

/** Adds up the terms of a line and compares the sum with its limit. */
export function createLine(draft: LineDraft): CapacityLine {
  const value = draft.terms.reduce((sum, term) => sum + term.value, 0);
  const error = Math.sqrt(draft.terms.reduce((sum, term) => sum + term.error ** 2, 0));
  const limit = draft.limit ?? null;
  return { ...draft, value, error, limit, over: limit !== null && value > limit };
}
