/** The highest port number of TCP and UDP. */
export const maxPort = 65_535;
