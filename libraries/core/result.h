#ifndef POMELOSPAR_LIBRARIES_CORE_RESULT_H_
#define POMELOSPAR_LIBRARIES_CORE_RESULT_H_

#include <boost/outcome.hpp>

#include "libraries/core/error.h"

namespace pomelospar::core {

/// A value or an `Error`. `BOOST_OUTCOME_TRY` returns early on an error. Reading the value of a
/// failed result is a programming error and throws `boost::outcome_v2::bad_result_access`.
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

/// The return value for success in functions that return `Result<void>`.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_RESULT_H_
