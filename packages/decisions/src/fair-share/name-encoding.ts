/**
 * Names as numbers on an ordered link: the writer numbers each name when it first sends it, in the
 * order of sending, and the reader counts along. Both sides start anew with every link.
 */

/** Names in numbers. */
export interface EncodedNames {
  /** Names that are sent for the first time; they take the next numbers. */
  added?: string[];
  numbers: number[];
}

/** Numbers names. */
export class NameEncoder {
  private readonly numbers = new Map<string, number>();

  encode(names: readonly string[]): EncodedNames {
    const added: string[] = [];
    const numbers = names.map((name) => {
      const known = this.numbers.get(name);
      if (known !== undefined) return known;
      added.push(name);
      this.numbers.set(name, this.numbers.size);
      return this.numbers.size - 1;
    });
    return added.length > 0 ? { added, numbers } : { numbers };
  }
}

/** Reads what a `NameWriter` has written, in the same order. */
export class NameDecoder {
  private readonly names: string[] = [];

  /** Throws where a number was never given out. */
  decode({ added = [], numbers }: EncodedNames): string[] {
    this.names.push(...added);
    return numbers.map((number) => {
      const name = this.names[number];
      if (name === undefined) throw new Error(`no name has the number ${number}`);
      return name;
    });
  }
}
