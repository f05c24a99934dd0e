#pragma once

#include "claimtypes.h"
#include "contracttypes.h"
#include "jobtypes.h"
#include "movetypes.h"
