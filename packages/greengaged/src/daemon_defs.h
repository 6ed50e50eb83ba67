/* Exit codes of greengaged. */
#ifndef GG_DAEMON_DEFS_H
#define GG_DAEMON_DEFS_H

enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_RUNTIME = 1, /* runtime failure, for example when the process cannot start */
	EXIT_CODE_USAGE = 2,   /* invalid command line or settings */
	EXIT_CODE_FORCED = 3,  /* the graceful shutdown was cut short */
};

#endif
