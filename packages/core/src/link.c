#include "link.h"
