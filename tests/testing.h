#ifndef AZUREROCK_TESTS_TESTING_H
#define AZUREROCK_TESTS_TESTING_H

/* cmocka.h needs these headers before it. */
/* clang-format off */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
/* clang-format on */

#endif
