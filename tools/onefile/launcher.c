/* Runs the linked-in interpreter with this executable, which ends in a zip archive, as its only
 * import path. */

#include <Python.h>

#define ARCHIVE L"/proc/self/exe"

int main(int argc, char **argv)
{
    PyStatus status;
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.site_import = 0;
    config.write_bytecode = 0;
    config.parse_argv = 0;
    config.module_search_paths_set = 1;
    status = PyConfig_SetBytesArgv(&config, argc, argv);
    if (!PyStatus_Exception(status))
        status = PyWideStringList_Append(&config.module_search_paths, ARCHIVE);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.run_filename, ARCHIVE);
    if (!PyStatus_Exception(status))
        status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    return Py_RunMain();
}
