/** The highest port number of TCP and UDP. */
export const largestPort = 65_535;
