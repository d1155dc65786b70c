# Flags that every target of the project is built with.
# GCC 12 wrongly takes parts of a moved variant for uninitialised.
add_library(oriolefall_flags INTERFACE)
target_compile_options(oriolefall_flags INTERFACE -Wall -Wextra -Werror
  -Wno-maybe-uninitialized)
target_include_directories(oriolefall_flags INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_definitions(oriolefall_flags INTERFACE BOOST_LOG_DYN_LINK)
target_link_libraries(oriolefall_flags INTERFACE Threads::Threads)

# oriolefall_package(NAME dependency...): one library made of the folder's
# sources. Packages may only depend on those listed.
function(oriolefall_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    add_library(oriolefall_${name} INTERFACE)
    target_link_libraries(oriolefall_${name} INTERFACE oriolefall_flags ${ARGN})
    return()
  endif()
  add_library(oriolefall_${name} STATIC ${sources})
  target_link_libraries(oriolefall_${name} PUBLIC oriolefall_flags ${ARGN})
endfunction()

# oriolefall_program(TARGET OUTPUT dependency...): one executable in the build
# folder, made of the folder's sources.
function(oriolefall_program target output)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${target} ${sources})
  set_target_properties(${target} PROPERTIES OUTPUT_NAME ${output})
  target_link_libraries(${target} PRIVATE oriolefall_flags ${ARGN})
endfunction()

# oriolefall_tests(NAME dependency...): tests/NAME/*.cpp as one Criterion
# program; RapidCheck runs from a fixed seed, so each run has one verdict.
# Tests that KNOWN-RED.txt lists ("test: NAME suite/test") are left out of the
# verdict; configuring prints them.
function(oriolefall_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cpp)
  add_executable(tests_${name} ${sources})
  target_link_libraries(tests_${name} PRIVATE oriolefall_flags rapidcheck ${ARGN})
  # Criterion cannot start under the thread sanitizer; tests/plain runs the
  # same tests there.
  if(ORIOLEFALL_PLAIN_TESTS)
    target_sources(tests_${name} PRIVATE $<TARGET_OBJECTS:tests_plain>)
    target_include_directories(tests_${name} BEFORE PRIVATE ${CMAKE_SOURCE_DIR}/tests/plain)
    add_test(NAME ${name} COMMAND tests_${name})
  else()
    target_link_libraries(tests_${name} PRIVATE PkgConfig::criterion)
    set(red "")
    if(EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
      set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
                   ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
      file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines
           REGEX "^test: ${name} [a-z0-9_]+/[a-z0-9_]+$")
      list(TRANSFORM lines REPLACE "^test: ${name} " "" OUTPUT_VARIABLE red)
      string(REPLACE ";" "|" red "${red}")
    endif()
    set(filter "")
    if(red)
      message(STATUS "Known red, left out of ${name}: ${red}")
      set(filter --filter "!(${red})")
    endif()
    add_test(NAME ${name} COMMAND tests_${name} --jobs 4 ${filter})
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT
    "RC_PARAMS=seed=20261204;ORIOLEFALL_BUILD=${CMAKE_BINARY_DIR};ORIOLEFALL_SOURCE=${CMAKE_SOURCE_DIR}")
endfunction()
