import type { Authority } from "@pomeloturn/types/Protocols";

/** Returns an authority of an era in which no VM has claimed it. */
export const createUnheldAuthority = (era: number): Authority => ({ holder: "", fence: 0, era, version: 0 });
