/* Constants shared by the modules of the daemon. */
#ifndef GG_DAEMON_DEFS_H
#define GG_DAEMON_DEFS_H

/* Exit codes of greengaged and greengagectl. */
enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_RUNTIME = 1,
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_FORCED = 3,
};

#endif
