#include "agent.h"

enum exit_code agent_run(const struct daemon_settings *settings)
{
	return EXIT_CODE_RUNTIME;
}
