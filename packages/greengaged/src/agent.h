/* The agent role: admission control and task execution for one backend server. */
#ifndef GG_AGENT_H
#define GG_AGENT_H

#include "daemon_defs.h"
#include "daemon_settings.h"

/*
 * Runs until SIGTERM or SIGINT and the end of the graceful shutdown that follows. Returns
 * EXIT_CODE_OK;
 * EXIT_CODE_RUNTIME when the agent could not start; EXIT_CODE_FORCED when the shutdown was cut
 * short by a second signal or by the drain time limit.
 */
enum exit_code agent_run(const struct daemon_settings *settings);

#endif
