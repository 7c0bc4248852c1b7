#ifndef AZUREROCK_TESTS_TESTING_H
#define AZUREROCK_TESTS_TESTING_H

/* cmocka.h requires these headers to be included first. */
/* clang-format off */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
/* clang-format on */

#endif
