# Shared dependencies and the helper functions that declare one target per module.
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
if(HICKORYSHORE_TESTS)
    find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)
    find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
else()
    find_package(Boost 1.74 REQUIRED)
endif()
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
find_package(absl REQUIRED)
find_library(CIVETWEB_LIBRARY civetweb REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

add_library(hickoryshore_options INTERFACE)
target_include_directories(hickoryshore_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_options(hickoryshore_options INTERFACE -Wall -Wextra -Wpedantic -Werror
    # Members have no mark, so that constructor parameters may share their names; designated initializers leave
    # fields at their defaults.
    $<$<CXX_COMPILER_ID:GNU>:-Wshadow=local> -Wno-missing-field-initializers)
if(HICKORYSHORE_SANITIZE)
    # Line numbers are all that a report needs of the debugging information.
    add_compile_options(-fsanitize=${HICKORYSHORE_SANITIZE} -fno-omit-frame-pointer -O1 -g1)
    add_link_options(-fsanitize=${HICKORYSHORE_SANITIZE})
    if(HICKORYSHORE_SANITIZE STREQUAL "thread")
        # Abseil's flags use a fence in a header; g++ warns that ThreadSanitizer does not follow fences.
        add_compile_options(-Wno-tsan)
    endif()
endif()

if(HICKORYSHORE_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined -O1)
    add_link_options(-fsanitize=address,undefined)
    add_custom_target(fuzz_targets)
endif()

# Declares one libFuzzer program, built only with HICKORYSHORE_FUZZ: hickoryshore_fuzz(NAME DEPENDS ...). Its source is
# NAME.cpp; tools/fuzz.sh runs it.
function(hickoryshore_fuzz name)
    if(NOT HICKORYSHORE_FUZZ)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    add_executable(${name} ${name}.cpp)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzz)
    add_dependencies(fuzz_targets ${name})
endfunction()

# Declares the library target of one module: hickoryshore_module(NAME SOURCES ... DEPENDS ...).
function(hickoryshore_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC hickoryshore_options ${ARG_DEPENDS})
endfunction()

# The entry point of all test programs.
if(HICKORYSHORE_TESTS)
    add_library(test_main STATIC ${PROJECT_SOURCE_DIR}/src/hickoryshore/test_main.cpp)
    target_compile_definitions(test_main PUBLIC BOOST_TEST_DYN_LINK)
    target_link_libraries(test_main PUBLIC hickoryshore_options Boost::unit_test_framework)
endif()

# What the tests without a label need; the sanitizers' builds make only this.
add_custom_target(unit_tests)

# Declares one Boost.Test program and registers it: hickoryshore_test(NAME SOURCES ... DEPENDS ... [LABEL system|bench]).
function(hickoryshore_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT;LABEL" "SOURCES;DEPENDS" ${ARGN})
    if(HICKORYSHORE_TESTS)
        add_executable(${name} ${ARG_SOURCES})
        target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} test_main)
    else()
        # Declared, so that the modules' files need not ask, but never built.
        add_executable(${name} EXCLUDE_FROM_ALL ${ARG_SOURCES})
    endif()
    add_test(NAME ${name} COMMAND ${name})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
    if(ARG_LABEL)
        set_tests_properties(${name} PROPERTIES LABELS ${ARG_LABEL})
    else()
        add_dependencies(unit_tests ${name})
    endif()
endfunction()
