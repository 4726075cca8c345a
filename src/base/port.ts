/** The highest port of TCP and of UDP. */
export const largestPort = 65_535;
