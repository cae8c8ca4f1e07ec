# Helpers that give every target of the repository the same warnings and include root.

add_library(pomelospar_options INTERFACE)
target_compile_options(pomelospar_options INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
target_include_directories(pomelospar_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_definitions(pomelospar_options INTERFACE BOOST_ASIO_NO_DEPRECATED)

# pomelospar_library(name [DEPENDS target...]): a static library of all .cc files in the current folder.
function(pomelospar_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC pomelospar_options ${ARG_DEPENDS})
endfunction()

# pomelospar_program(name [DEPENDS target...]): a program of all .cc files in the current folder.
function(pomelospar_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE pomelospar_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# pomelospar_test(name [DEPENDS target...]): a GoogleTest program of all *_test.cc files in the current folder.
function(pomelospar_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${RAPIDCHECK_INCLUDE})
  target_link_libraries(${name} PRIVATE pomelospar_options ${ARG_DEPENDS} rapidcheck GTest::gmock
                                        GTest::gtest GTest::gtest_main)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name})
  # RapidCheck draws a new seed for every run unless told; a fixed seed keeps the verdict of CI the same.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
